/// The maximum length of an object name, in bytes.
pub const NAME_MAX_LEN: usize = 64;

/// Returns whether `name` consists of 1 to [`NAME_MAX_LEN`] ASCII letters, digits, `-`, `_` or `.`.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=NAME_MAX_LEN).contains(&name.len()) && name.bytes().all(is_allowed)
}
