/// An enum whose values are referred to by name in chart files.
pub trait Label: Copy + Eq + 'static {
    /// All values, in declaration order.
    const ALL: &'static [Self];

    /// Returns the name used in chart files.
    fn label(self) -> &'static str;

    /// Returns the value named `label`.
    fn find(label: &str) -> Option<Self> {
        Self::ALL
            .iter()
            .copied()
            .find(|value| value.label() == label)
    }

    /// Returns the index within [`Self::ALL`].
    fn position(self) -> usize {
        Self::ALL
            .iter()
            .position(|value| *value == self)
            .unwrap_or(usize::MAX)
    }
}

/// Declares an enum together with the chart name of each value.
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
