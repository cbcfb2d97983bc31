//! Splits the byte stream of a watch into discovery's messages. A message may span several lines and arrive
//! in pieces.

/// The received data that is not a complete message yet.
#[derive(Default)]
pub struct MessageReader {
    bytes: Vec<u8>,
    /// The number of bytes that were scanned, the last of them that was not white space, and the nesting
    /// depth of braces and brackets there.
    scanned: usize,
    last_byte: u8,
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// The line end after the last message has not been received yet. It is no heartbeat.
    line_end_due: bool,
}

impl MessageReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The number of bytes of an incomplete message.
    pub fn unfinished_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Returns the next complete message, or the next line that is none. An empty one is a heartbeat.
    /// Invalid data costs no more than its own line or message.
    pub fn next(&mut self) -> Option<Vec<u8>> {
        self.skip_line_end();
        while let Some(&byte) = self.bytes.get(self.scanned) {
            if self.is_cut_short_before(byte) {
                return Some(self.take_message(self.scanned, false));
            }
            // A JSON string cannot contain a line end.
            if byte == b'\n' && (self.depth == 0 || self.in_string) {
                return Some(self.take_message(self.scanned + 1, false));
            }
            let outside = self.depth == 0;
            self.scan(byte);
            if !outside && self.depth == 0 {
                // The message is complete with its last brace; the line end may come much later.
                return Some(self.take_message(self.scanned, true));
            }
        }
        None
    }

    /// An object cannot directly follow a literal, so the message before it was cut short.
    fn is_cut_short_before(&self, byte: u8) -> bool {
        self.depth > 0 && !self.in_string && byte == b'{' && !b"[,:{".contains(&self.last_byte)
    }

    fn scan(&mut self, byte: u8) {
        match byte {
            _ if self.escaped => self.escaped = false,
            b'\\' if self.in_string => self.escaped = true,
            b'"' => self.in_string = !self.in_string,
            b'{' | b'[' if !self.in_string => self.depth += 1,
            b'}' | b']' if !self.in_string => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        if !byte.is_ascii_whitespace() {
            self.last_byte = byte;
        }
        self.scanned += 1;
    }

    fn take_message(&mut self, end: usize, line_end_due: bool) -> Vec<u8> {
        let message = self.bytes.drain(..end).collect();
        let bytes = std::mem::take(&mut self.bytes);
        *self = MessageReader { bytes, line_end_due, ..MessageReader::default() };
        message
    }

    fn skip_line_end(&mut self) {
        if !self.line_end_due {
            return;
        }
        let is_space = |byte: &u8| byte.is_ascii_whitespace() && *byte != b'\n';
        let mut end = self.bytes.iter().take_while(|&byte| is_space(byte)).count();
        if let Some(&next) = self.bytes.get(end) {
            self.line_end_due = false;
            end += usize::from(next == b'\n');
        }
        self.bytes.drain(..end);
    }
}

#[cfg(test)]
mod tests {
    use super::MessageReader;

    fn read(parts: &[&[u8]]) -> Vec<String> {
        let (mut reader, mut found) = (MessageReader::default(), Vec::new());
        for part in parts {
            reader.push(part);
            found.extend(std::iter::from_fn(|| reader.next()));
        }
        found.iter().map(|message| String::from_utf8_lossy(message.trim_ascii()).into_owned()).collect()
    }

    /// Messages on one line or on several, split anywhere, between heartbeats and after invalid data: each
    /// must be returned unchanged.
    #[test]
    fn messages_are_found_wherever_the_data_is_split() {
        let one = "{\"a\":[{\"b\":\"}\\\"{\"}]}\n";
        let many = "{\n  \"a\": [\n    {\n      \"b\": 1\n    },\n    {\"b\": 2}\n  ]\n}\n";
        let flat = "{\n\"a\": [\n{\n\"b\": 1\n},\n{\n\"b\": 2\n}\n]\n}\n";
        let cases: [&[&str]; 7] = [
            &[one, "\n", many, flat, "\n", one],
            &["not JSON\n", one, many],
            &["[1,2]\n", "}\n", many],
            // Cut short within a string, and within a literal.
            &["{\"a\": \"b\n", one, "\n", many],
            &["{\"a\": tru\n", many, one],
            &["{\"a\": 1\n", one, many],
            &["{\"a\": 1} \r\n", "\r\n", one],
        ];
        for parts in cases {
            let text = parts.concat();
            let wanted: Vec<_> = parts.iter().map(|part| part.trim_ascii()).collect();
            for split in 0..text.len() {
                let (first, rest) = text.as_bytes().split_at(split);
                assert_eq!(read(&[first, rest]), wanted, "{text:?} at {split}");
            }
        }
    }

    /// A message must be returned as soon as its last brace is received, whatever follows and whenever. The
    /// line end after it must not count as a heartbeat.
    #[test]
    fn message_is_complete_before_its_line_end() {
        let message = "{\"a\": 1}";
        assert_eq!(read(&[message.as_bytes()]), [message]);
        assert_eq!(read(&[message.as_bytes(), b"\n", b"\n"]), [message, ""]);
        assert_eq!(read(&[message.as_bytes(), message.as_bytes()]), [message, message]);
    }
}
