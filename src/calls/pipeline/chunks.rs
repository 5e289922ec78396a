//! Finding the end of a chunked body.
//!
//! Only the plainest form is understood, without extensions and trailers. Whether hyper would
//! accept a body in another form does not matter, since the rest of the connection is then passed
//! on as it is.

/// Largest number of digits of a chunk's size.
const MAX_SIZE_DIGITS: u32 = 8;

/// Position within a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Position {
    /// Within the size of a chunk, of which this many digits and this value have been read.
    Size(u32, u64),
    /// Before the line feed that ends the size of a chunk.
    SizeEnd(u64),
    /// Within a chunk, of which this many bytes are missing.
    Data(u64),
    /// Within the line end after a chunk; whether its carriage return has been read.
    DataEnd(bool),
    /// Within the line end after the last chunk; whether its carriage return has been read.
    LastEnd(bool),
    /// After the body.
    Ended,
}

impl Position {
    /// Beginning of a body.
    pub const BEGIN: Self = Self::Size(0, 0);

    /// Proceeds through `data`; returns how many bytes belong to the body and where it stands then,
    /// `None` if its form is not understood.
    #[must_use]
    pub fn proceed(mut self, data: &[u8]) -> Option<(usize, Self)> {
        let mut index = 0;
        while index < data.len() && self != Self::Ended {
            if let Self::Data(missing) = self {
                let present = missing.min((data.len() - index) as u64);
                index += usize::try_from(present).ok()?;
                self = match missing - present {
                    0 => Self::DataEnd(false),
                    missing => Self::Data(missing),
                };
            } else {
                self = self.after(data[index])?;
                index += 1;
            }
        }
        Some((index, self))
    }

    fn after(self, byte: u8) -> Option<Self> {
        let next = match (self, byte) {
            (Self::Size(1.., size), b'\r') => Self::SizeEnd(size),
            (Self::Size(digits, size), _) if digits < MAX_SIZE_DIGITS => {
                let digit = char::from(byte).to_digit(16)?;
                Self::Size(digits + 1, size * 16 + u64::from(digit))
            }
            (Self::SizeEnd(0), b'\n') => Self::LastEnd(false),
            (Self::SizeEnd(size), b'\n') => Self::Data(size),
            (Self::DataEnd(false), b'\r') => Self::DataEnd(true),
            (Self::DataEnd(true), b'\n') => Self::BEGIN,
            (Self::LastEnd(false), b'\r') => Self::LastEnd(true),
            (Self::LastEnd(true), b'\n') => Self::Ended,
            _ => return None,
        };
        Some(next)
    }
}
