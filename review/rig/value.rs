//! MessagePack values: encoding, decoding, and their length and text as JSON.

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Nil,
    Bool(bool),
    Int(i64),
    UInt(u64),
    Float(f64),
    Str(String),
    List(Vec<Value>),
    Map(Vec<(String, Value)>),
}

use Value::*;

impl From<&str> for Value {
    fn from(s: &str) -> Self {
        Str(s.into())
    }
}
impl From<String> for Value {
    fn from(s: String) -> Self {
        Str(s)
    }
}
impl From<u64> for Value {
    fn from(n: u64) -> Self {
        UInt(n)
    }
}
impl From<f64> for Value {
    fn from(n: f64) -> Self {
        Float(n)
    }
}
impl From<bool> for Value {
    fn from(b: bool) -> Self {
        Bool(b)
    }
}
impl From<Vec<Value>> for Value {
    fn from(l: Vec<Value>) -> Self {
        List(l)
    }
}

/// Builds a map.
pub fn map<const N: usize>(pairs: [(&str, Value); N]) -> Value {
    Map(pairs.into_iter().map(|(k, v)| (k.to_string(), v)).collect())
}

impl Value {
    pub fn get(&self, key: &str) -> &Value {
        match self {
            Map(m) => m.iter().find(|(k, _)| k == key).map_or(&Nil, |(_, v)| v),
            _ => &Nil,
        }
    }
    pub fn set(&mut self, key: &str, value: Value) {
        if let Map(m) = self {
            m.retain(|(k, _)| k != key);
            m.push((key.into(), value));
        }
    }
    pub fn str(&self) -> &str {
        match self {
            Str(s) => s,
            _ => "",
        }
    }
    pub fn u64(&self) -> u64 {
        match self {
            UInt(n) => *n,
            Int(n) => *n as u64,
            Float(f) => *f as u64,
            _ => 0,
        }
    }
    pub fn is_nil(&self) -> bool {
        *self == Nil
    }
    pub fn list(&self) -> &[Value] {
        match self {
            List(l) => l,
            _ => &[],
        }
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut out = vec![];
        self.write(&mut out);
        out
    }

    fn write(&self, out: &mut Vec<u8>) {
        match self {
            Nil => out.push(0xc0),
            Bool(b) => out.push(if *b { 0xc3 } else { 0xc2 }),
            Int(n) if *n >= 0 => UInt(*n as u64).write(out),
            Int(n) => {
                out.push(0xd3);
                out.extend(n.to_be_bytes());
            }
            UInt(n) => match *n {
                0..=0x7f => out.push(*n as u8),
                0x80..=0xff => out.extend([0xcc, *n as u8]),
                0x100..=0xffff => {
                    out.push(0xcd);
                    out.extend((*n as u16).to_be_bytes());
                }
                0x10000..=0xffff_ffff => {
                    out.push(0xce);
                    out.extend((*n as u32).to_be_bytes());
                }
                _ => {
                    out.push(0xcf);
                    out.extend(n.to_be_bytes());
                }
            },
            Float(f) => {
                out.push(0xcb);
                out.extend(f.to_be_bytes());
            }
            Str(s) => {
                match s.len() {
                    0..=31 => out.push(0xa0 | s.len() as u8),
                    32..=255 => out.extend([0xd9, s.len() as u8]),
                    _ => {
                        out.push(0xda);
                        out.extend((s.len() as u16).to_be_bytes());
                    }
                }
                out.extend(s.as_bytes());
            }
            List(l) => {
                if l.len() < 16 {
                    out.push(0x90 | l.len() as u8);
                } else {
                    out.push(0xdd);
                    out.extend((l.len() as u32).to_be_bytes());
                }
                l.iter().for_each(|v| v.write(out));
            }
            Map(m) => {
                if m.len() < 16 {
                    out.push(0x80 | m.len() as u8);
                } else {
                    out.push(0xdf);
                    out.extend((m.len() as u32).to_be_bytes());
                }
                for (k, v) in m {
                    Str(k.clone()).write(out);
                    v.write(out);
                }
            }
        }
    }

    pub fn decode(bytes: &[u8]) -> Option<Value> {
        let mut rest = bytes;
        let value = read(&mut rest)?;
        rest.is_empty().then_some(value)
    }

    /// The value as JSON.
    pub fn json(&self) -> String {
        match self {
            Nil => "null".into(),
            Bool(b) => b.to_string(),
            Int(n) => n.to_string(),
            UInt(n) => n.to_string(),
            Float(f) if f.fract() == 0.0 && f.abs() < 1e15 => format!("{f:.1}"),
            Float(f) => f.to_string(),
            Str(s) => format!("\"{}\"", s.replace('\\', "\\\\").replace('"', "\\\"")),
            List(l) => {
                format!("[{}]", l.iter().map(Value::json).collect::<Vec<_>>().join(","))
            }
            Map(m) => {
                let pairs: Vec<String> =
                    m.iter().map(|(k, v)| format!("\"{k}\":{}", v.json())).collect();
                format!("{{{}}}", pairs.join(","))
            }
        }
    }
}

fn take<'a>(rest: &mut &'a [u8], n: usize) -> Option<&'a [u8]> {
    if rest.len() < n {
        return None;
    }
    let (head, tail) = rest.split_at(n);
    *rest = tail;
    Some(head)
}

fn uint(rest: &mut &[u8], n: usize) -> Option<u64> {
    Some(take(rest, n)?.iter().fold(0, |a, b| (a << 8) | u64::from(*b)))
}

fn text(rest: &mut &[u8], n: usize) -> Option<Value> {
    Some(Str(String::from_utf8(take(rest, n)?.to_vec()).ok()?))
}

fn list(rest: &mut &[u8], n: usize) -> Option<Value> {
    (0..n).map(|_| read(rest)).collect::<Option<Vec<_>>>().map(List)
}

fn pairs(rest: &mut &[u8], n: usize) -> Option<Value> {
    let mut out = vec![];
    for _ in 0..n {
        let Str(key) = read(rest)? else { return None };
        out.push((key, read(rest)?));
    }
    Some(Map(out))
}

fn read(rest: &mut &[u8]) -> Option<Value> {
    let tag = take(rest, 1)?[0];
    Some(match tag {
        0x00..=0x7f => UInt(u64::from(tag)),
        0x80..=0x8f => return pairs(rest, usize::from(tag & 0x0f)),
        0x90..=0x9f => return list(rest, usize::from(tag & 0x0f)),
        0xa0..=0xbf => return text(rest, usize::from(tag & 0x1f)),
        0xc0 => Nil,
        0xc2 => Bool(false),
        0xc3 => Bool(true),
        0xca => Float(f64::from(f32::from_bits(uint(rest, 4)? as u32))),
        0xcb => Float(f64::from_bits(uint(rest, 8)?)),
        0xcc => UInt(uint(rest, 1)?),
        0xcd => UInt(uint(rest, 2)?),
        0xce => UInt(uint(rest, 4)?),
        0xcf => UInt(uint(rest, 8)?),
        0xd0 => Int(i64::from(uint(rest, 1)? as i8)),
        0xd1 => Int(i64::from(uint(rest, 2)? as i16)),
        0xd2 => Int(i64::from(uint(rest, 4)? as i32)),
        0xd3 => Int(uint(rest, 8)? as i64),
        0xd9 => {
            let n = uint(rest, 1)? as usize;
            return text(rest, n);
        }
        0xda => {
            let n = uint(rest, 2)? as usize;
            return text(rest, n);
        }
        0xdb => {
            let n = uint(rest, 4)? as usize;
            return text(rest, n);
        }
        0xdc => {
            let n = uint(rest, 2)? as usize;
            return list(rest, n);
        }
        0xdd => {
            let n = uint(rest, 4)? as usize;
            return list(rest, n);
        }
        0xde => {
            let n = uint(rest, 2)? as usize;
            return pairs(rest, n);
        }
        0xdf => {
            let n = uint(rest, 4)? as usize;
            return pairs(rest, n);
        }
        0xe0..=0xff => Int(i64::from(tag as i8)),
        _ => return None,
    })
}
