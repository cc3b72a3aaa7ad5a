/// An enum whose values stand in a chart by name.
pub trait Label: Copy + Eq + 'static {
    /// All values, in a fixed order.
    const ALL: &'static [Self];

    /// The name used in chart files.
    fn label(self) -> &'static str;

    /// Finds the value named `label`.
    fn find(label: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|value| value.label() == label)
    }

    /// The position within [`Self::ALL`].
    fn position(self) -> usize {
        Self::ALL
            .iter()
            .position(|value| *value == self)
            .unwrap_or(usize::MAX)
    }
}

/// Declares an enum with its chart names.
#[macro_export]
macro_rules! labels {
    ($(#[$meta:meta])* $vis:vis enum $name:ident { $($(#[$vmeta:meta])* $value:ident = $label:literal),+ $(,)? }) => {
        $(#[$meta])*
        $vis enum $name { $($(#[$vmeta])* $value),+ }

        impl $crate::Label for $name {
            const ALL: &'static [Self] = &[$(Self::$value),+];

            fn label(self) -> &'static str {
                match self { $(Self::$value => $label),+ }
            }
        }
    };
}
