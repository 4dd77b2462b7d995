use std::time::Duration;

/// Most bytes of an answer.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// What the first line of a body asks an executor to do.
///
/// The line holds `work` and then `key=value` parts: `us` (service time in microseconds),
/// `answer` (bytes of the answer) and `nonce` (a mark that tells bodies apart), such as
/// `work us=5000 answer=100000 nonce=17`. Any other body is served in the executor's own
/// time with an answer of the body's length.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WorkOrder {
    /// Service time; `None` leaves it to the executor.
    pub service: Option<Duration>,
    /// Bytes of the answer; `None` for the length of the body.
    pub answer: Option<usize>,
    /// Mark that tells bodies apart.
    pub nonce: String,
}

impl WorkOrder {
    /// Reads the first line of a body.
    pub fn parse(body: &[u8]) -> Self {
        let mut order = Self::default();
        let line = body.split(|byte| *byte == b'\n').next().unwrap_or_default();
        let Ok(line) = std::str::from_utf8(line) else {
            return order;
        };
        let Some(parts) = line.strip_prefix("work ") else {
            return order;
        };
        for (key, value) in parts.split(' ').filter_map(|part| part.split_once('=')) {
            match key {
                "us" => order.service = value.parse().ok().map(Duration::from_micros),
                "answer" => order.answer = value.parse().ok(),
                "nonce" => order.nonce = value.to_owned(),
                _ => {}
            }
        }
        order
    }

    /// A body that asks for this, padded to at least `size` bytes.
    pub fn body(&self, size: usize) -> Vec<u8> {
        let mut line = "work".to_owned();
        if let Some(service) = self.service {
            line += &format!(" us={}", service.as_micros());
        }
        if let Some(answer) = self.answer {
            line += &format!(" answer={answer}");
        }
        line += &format!(" nonce={}\n", self.nonce);
        let mut body = line.into_bytes();
        if body.len() < size {
            body.resize(size, b'.');
        }
        body
    }
}

/// The one right answer to a body: pseudo-random bytes that depend on all of it, so that
/// a caller can tell a foreign or a cut answer from its own.
pub fn expected_answer(body: &[u8]) -> Vec<u8> {
    let wanted = WorkOrder::parse(body).answer.unwrap_or(body.len());
    let length = wanted.min(MAX_ANSWER);
    let mut state = digest_bytes(body) | 1;
    let mut answer = Vec::with_capacity(length + 8);
    while answer.len() < length {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        answer.extend_from_slice(&state.to_le_bytes());
    }
    answer.truncate(length);
    answer
}

/// FNV-1a over `bytes`, eight at a time.
pub fn digest_bytes(bytes: &[u8]) -> u64 {
    let mut digest = 0xcbf2_9ce4_8422_2325_u64 ^ bytes.len() as u64;
    for chunk in bytes.chunks(8) {
        let mut word = [0; 8];
        word[..chunk.len()].copy_from_slice(chunk);
        digest = (digest ^ u64::from_le_bytes(word)).wrapping_mul(0x0000_0100_0000_01b3);
        digest ^= digest >> 29;
    }
    digest
}
