//! What operators declare, in their YAML, and whether it makes sense.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};

/// One kind of licence.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    pub name: String,
    /// How many there are: in the installation, in each zone, or, counted by machine, how many machines
    /// may use it at a time.
    pub count: u32,
    #[serde(default)]
    pub per: Scope,
    /// By team: shares that are kept for it, and the most that it may hold.
    #[serde(default)]
    pub teams: BTreeMap<String, Part>,
    /// Hours of the day (UTC) when another number is there; of those that overlap the smallest counts.
    #[serde(default)]
    pub hours: Vec<Hours>,
    #[serde(default)]
    pub server: Option<ServerPart>,
}

/// What a share covers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Scope {
    /// One task, or one job, anywhere.
    #[default]
    Installation,
    /// The same, and there are `count` in each zone.
    Zone,
    /// A machine: any number of tasks on it share one.
    Machine,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    #[serde(default)]
    pub guaranteed: u32,
    #[serde(default)]
    pub most: Option<u32>,
}

/// From one time of day to another, "22:00" to "06:00" over midnight.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hours {
    pub from: String,
    pub to: String,
    pub count: u32,
}

/// A server that knows of other holders.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerPart {
    /// IP:PORT.
    pub address: String,
    /// How often it is asked, in seconds.
    #[serde(default = "every")]
    pub every_s: f64,
    /// How many more others may hold by the time that an answer is used.
    #[serde(default = "margin")]
    pub margin: u32,
    /// Without an answer for so long nothing more is started, in seconds.
    #[serde(default = "stop")]
    pub stop_s: f64,
}

fn every() -> f64 {
    5.0
}
fn margin() -> u32 {
    1
}
fn stop() -> f64 {
    60.0
}

/// A declaration that makes no sense: the field, what is wrong, and the mend.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("licences.{licence}.{field}: {why}")]
pub struct DeclarationError {
    pub licence: String,
    pub field: String,
    pub why: String,
}

/// "HH:MM" in minutes since midnight; "24:00" is the end of the day.
fn minutes(text: &str) -> Option<u32> {
    let (h, m) = text.split_once(':')?;
    let digits = |s: &str| s.len() == 2 && s.bytes().all(|b| b.is_ascii_digit());
    let (h, m): (u32, u32) = (digits(h) && digits(m))
        .then(|| (h.parse(), m.parse()))
        .and_then(|(h, m)| Some((h.ok()?, m.ok()?)))?;
    (m < 60 && (h < 24 || (h == 24 && m == 0))).then_some(h * 60 + m)
}

impl Hours {
    /// Does it hold at this minute of the day? Empty where `from` is `to`, which `check` refuses.
    fn covers(&self, minute: u32) -> bool {
        match (minutes(&self.from), minutes(&self.to)) {
            (Some(from), Some(to)) if from <= to => (from..to).contains(&minute),
            (Some(from), Some(to)) => minute >= from || minute < to,
            _ => false,
        }
    }
}

impl Declaration {
    /// How many there are at a time of day, given in milliseconds since 1970 (UTC).
    pub fn total(&self, wall_ms: u64) -> u32 {
        let minute = (wall_ms / 60_000 % 1440) as u32;
        let now = self.hours.iter().filter(|h| h.covers(minute)).map(|h| h.count).min();
        now.unwrap_or(self.count)
    }

    /// The most that are ever there: what a job asks for beyond it can never run.
    pub fn most_ever(&self) -> u32 {
        self.hours.iter().map(|h| h.count).fold(self.count, u32::max)
    }

    pub fn part(&self, team: &str) -> Part {
        self.teams.get(team).copied().unwrap_or_default()
    }

    fn check(&self, teams: &BTreeSet<&str>) -> Result<(), DeclarationError> {
        let bad = |field: &str, why: String| {
            Err(DeclarationError { licence: self.name.clone(), field: field.into(), why })
        };
        let word = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if self.name.is_empty() || self.name.len() > 64 || !self.name.chars().all(word) {
            return bad("name", "give 1 to 64 letters, digits, `-`, `_` or `.`".into());
        }
        let mut guaranteed = 0u64;
        for (team, part) in &self.teams {
            if !teams.contains(team.as_str()) {
                return bad(&format!("teams.{team}"), "no such team in the platform's file".into());
            }
            if part.most.is_some_and(|most| most < part.guaranteed) {
                let why = format!("most is below the {} guaranteed: raise it", part.guaranteed);
                return bad(&format!("teams.{team}.most"), why);
            }
            guaranteed += u64::from(part.guaranteed);
        }
        if guaranteed > u64::from(self.count) {
            let why = format!("{guaranteed} are guaranteed of {}: lower some", self.count);
            return bad("teams", why);
        }
        for (n, h) in self.hours.iter().enumerate() {
            for (field, text) in [("from", &h.from), ("to", &h.to)] {
                if minutes(text).is_none() {
                    let why = format!("`{text}` is no time of day: give HH:MM, in quotes");
                    return bad(&format!("hours[{n}].{field}"), why);
                }
            }
            if minutes(&h.from) == minutes(&h.to) {
                let why = "is the same as from: give \"00:00\" to \"24:00\" for all day".into();
                return bad(&format!("hours[{n}].to"), why);
            }
        }
        if let Some(s) = &self.server {
            if let Err(e) = s.address.parse::<std::net::SocketAddr>() {
                return bad("server.address", format!("`{}`: {e}; give IP:PORT", s.address));
            }
            for (field, v) in [("every_s", s.every_s), ("stop_s", s.stop_s)] {
                if !(v.is_finite() && v > 0.0) {
                    return bad(&format!("server.{field}"), format!("must be above 0, is {v}"));
                }
            }
            if s.stop_s < 2.0 * s.every_s {
                let why = format!("give at least twice every_s, {}", 2.0 * s.every_s);
                return bad("server.stop_s", why);
            }
            if self.per != Scope::Installation {
                let why = "a server counts for the whole installation: leave `per` off".into();
                return bad("per", why);
            }
        }
        Ok(())
    }
}

/// Do all declarations make sense, with the platform's teams?
pub fn check(all: &[Declaration], teams: &BTreeSet<&str>) -> Result<(), DeclarationError> {
    let mut names = BTreeSet::new();
    for d in all {
        d.check(teams)?;
        if !names.insert(&d.name) {
            let why = "is declared twice: leave one".into();
            return Err(DeclarationError { licence: d.name.clone(), field: "name".into(), why });
        }
    }
    Ok(())
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    pub fn read(yaml: &str) -> Result<Vec<Declaration>, String> {
        let all: Vec<Declaration> = serde_norway::from_str(yaml).map_err(|e| e.to_string())?;
        check(&all, &BTreeSet::from(["red", "blue"])).map_err(|e| e.to_string())?;
        Ok(all)
    }

    const SOUND: &str = r#"
- name: revenue-link
  count: 5
  teams: { red: { guaranteed: 2 }, blue: { guaranteed: 1, most: 3 } }
  hours: [{ from: "22:00", to: "06:00", count: 2 }, { from: "05:00", to: "07:30", count: 1 }]
  server: { address: "127.0.0.1:9", every_s: 2.0, stop_s: 20.0 }
- { name: solver, count: 3, per: machine }
- { name: gate, count: 2, per: zone }
"#;

    #[test]
    fn what_makes_no_sense_names_field_and_mend() {
        assert_eq!(read(SOUND).expect("sound").len(), 3);
        // (in place of, this, words of the error)
        let cases = [
            ("name: solver", "name: \"\"", "name: give 1 to 64"),
            ("name: solver", "name: a b", "licences.a b.name"),
            ("name: gate", "name: solver", "licences.solver.name: is declared twice"),
            ("count: 5", "count: -5", "count"),
            ("count: 5", "count: 2", "licences.revenue-link.teams: 3 are guaranteed of 2"),
            ("blue:", "green:", "teams.green: no such team"),
            ("most: 3", "most: 0", "teams.blue.most: most is below the 1 guaranteed"),
            ("most: 3", "least: 3", "unknown field `least`"),
            ("per: zone", "per: town", "unknown variant `town`"),
            ("22:00", "22h", "hours[0].from: `22h` is no time of day"),
            ("07:30", "7:30", "hours[1].to"),
            ("07:30", "24:30", "hours[1].to"),
            ("07:30", "05:00", "hours[1].to: is the same as from"),
            ("127.0.0.1:9", "somewhere", "server.address"),
            ("every_s: 2.0", "every_s: 0.0", "server.every_s: must be above 0"),
            ("stop_s: 20.0", "stop_s: .nan", "server.stop_s: must be above 0"),
            ("stop_s: 20.0", "stop_s: 3.0", "server.stop_s: give at least twice"),
            ("  count: 5\n", "  count: 5\n  per: zone\n", "revenue-link.per: a server counts"),
        ];
        for (from, to, word) in cases {
            assert!(SOUND.contains(from), "{from}");
            let e = read(&SOUND.replacen(from, to, 1)).expect_err(to);
            assert!(e.contains(word), "{to}: {e}");
        }
    }

    #[test]
    fn hours_wrap_around_midnight_and_the_smallest_counts() {
        let d = &read(SOUND).expect("sound")[0];
        let day = 20_000 * 86_400_000;
        for (h, m, total) in [
            (21, 59, 5),
            (22, 0, 2),
            (0, 0, 2),
            (4, 59, 2),
            (5, 0, 1),
            (6, 30, 1),
            (7, 29, 1),
            (7, 30, 5),
        ] {
            assert_eq!(d.total(day + (h * 60 + m) * 60_000 + 59_999), total, "{h}:{m}");
        }
        assert_eq!(d.most_ever(), 5);
    }
}
