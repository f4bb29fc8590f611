//! Broken rules. The stand-ins check rules with assertions; a panic anywhere in the process is a violation.

use std::sync::Mutex;

static VIOLATIONS: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Panics of stand-ins that follow from an earlier one, since it left a lock poisoned.
const CONSEQUENCE: &str = "PoisonError";

/// Records a broken rule.
pub(crate) fn record(text: String) {
    VIOLATIONS.lock().unwrap_or_else(|e| e.into_inner()).push(text);
}

/// Returns the broken rules recorded so far, and forgets them.
pub(crate) fn take() -> Vec<String> {
    std::mem::take(&mut *VIOLATIONS.lock().unwrap_or_else(|e| e.into_inner()))
}

/// Returns whether a rule was broken.
pub(crate) fn any() -> bool {
    !VIOLATIONS.lock().unwrap_or_else(|e| e.into_inner()).is_empty()
}

/// Records every panic as a broken rule.
pub(crate) fn install_hook() {
    std::panic::set_hook(Box::new(|panic| {
        let payload = panic.payload();
        let literal = payload.downcast_ref::<&str>().map(ToString::to_string);
        let text = literal.or_else(|| payload.downcast_ref::<String>().cloned());
        let text = text.unwrap_or_else(|| "a panic".into());
        if !text.contains(CONSEQUENCE) {
            record(text);
        }
    }));
}
