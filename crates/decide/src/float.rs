/// Converts a count to a float.
#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(crate) fn as_float(count: u64) -> f64 {
    count as f64
}
