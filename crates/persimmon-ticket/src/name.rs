/// The longest name of an object, in bytes.
pub const NAME_MAX_LEN: usize = 64;

/// Tells whether `name` is 1 to [`NAME_MAX_LEN`] letters, digits, `-`, `_` or `.`.
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=NAME_MAX_LEN).contains(&name.len()) && name.bytes().all(allowed)
}
