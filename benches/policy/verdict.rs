//! Checks figures against their targets, except those listed in `KNOWN-RED.txt`.

use std::{path::Path, process::ExitCode};

/// Prefix of the lines of `KNOWN-RED.txt` that name a case of this benchmark:
/// `bench policy: <workload>/<target>`, followed by white space and free text.
const KNOWN_PREFIX: &str = "bench policy: ";

/// Counts the targets that were met and collects those that were missed.
#[derive(Debug, Default)]
pub(crate) struct Verdict {
    known: Vec<String>,
    missed: Vec<String>,
    met: usize,
}

impl Verdict {
    /// Reads the known cases from `KNOWN-RED.txt` at the root of the repository.
    pub(crate) fn load() -> Verdict {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("KNOWN-RED.txt");
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let known = text
            .lines()
            .filter_map(|line| line.trim().strip_prefix(KNOWN_PREFIX))
            .filter_map(|rest| rest.split_whitespace().next())
            .map(str::to_owned)
            .collect();
        Verdict {
            known,
            ..Verdict::default()
        }
    }

    /// Checks that a figure is at most its bound.
    pub(crate) fn at_most(&mut self, case: &str, target: &str, found: f64, bound: f64) {
        self.check(
            case,
            target,
            found <= bound,
            &format!("{found:.3} > {bound:.3}"),
        );
    }

    /// Checks that a figure is at least its bound.
    pub(crate) fn at_least(&mut self, case: &str, target: &str, found: f64, bound: f64) {
        self.check(
            case,
            target,
            found >= bound,
            &format!("{found:.3} < {bound:.3}"),
        );
    }

    fn check(&mut self, case: &str, target: &str, met: bool, found: &str) {
        let name = format!("{case}/{target}");
        let known = self.known.contains(&name);
        match (met, known) {
            (true, false) => self.met += 1,
            (true, true) => {
                self.met += 1;
                println!("MET     {name}: listed in KNOWN-RED.txt; remove its entry");
            }
            (false, true) => println!("KNOWN   {name}: {found}"),
            (false, false) => {
                println!("MISSED  {name}: {found}");
                self.missed.push(name);
            }
        }
    }

    /// Prints the numbers of met and missed targets and returns the exit code.
    pub(crate) fn finish(self) -> ExitCode {
        println!("{} targets met, {} missed", self.met, self.missed.len());
        if self.missed.is_empty() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}
