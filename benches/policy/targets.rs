//! Checks figures against their targets, except those listed in `KNOWN-RED.txt`.

use std::{path::Path, process::ExitCode};

/// Prefix of the lines of `KNOWN-RED.txt` that name a case of this benchmark:
/// `bench policy: <workload>/<target>`, followed by white space and free text.
const KNOWN_RED_PREFIX: &str = "bench policy: ";

/// Counts the targets that were met and collects those that were missed.
#[derive(Debug, Default)]
pub(crate) struct TargetChecker {
    known_red: Vec<String>,
    missed: Vec<String>,
    met: usize,
}

impl TargetChecker {
    /// Reads the known cases from `KNOWN-RED.txt` at the root of the repository.
    pub(crate) fn load() -> TargetChecker {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("KNOWN-RED.txt");
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let known_red = text
            .lines()
            .filter_map(|line| line.trim().strip_prefix(KNOWN_RED_PREFIX))
            .filter_map(|rest| rest.split_whitespace().next())
            .map(str::to_owned)
            .collect();
        TargetChecker {
            known_red,
            ..TargetChecker::default()
        }
    }

    /// Checks that a figure is at most its bound.
    pub(crate) fn at_most(&mut self, case: &str, target: &str, figure: f64, bound: f64) {
        self.check(
            case,
            target,
            figure <= bound,
            &format!("{figure:.3} > {bound:.3}"),
        );
    }

    /// Checks that a figure is at least its bound.
    pub(crate) fn at_least(&mut self, case: &str, target: &str, figure: f64, bound: f64) {
        self.check(
            case,
            target,
            figure >= bound,
            &format!("{figure:.3} < {bound:.3}"),
        );
    }

    fn check(&mut self, case: &str, target: &str, met: bool, figure: &str) {
        let name = format!("{case}/{target}");
        let is_known = self.known_red.contains(&name);
        match (met, is_known) {
            (true, false) => self.met += 1,
            (true, true) => {
                self.met += 1;
                println!("MET     {name}: listed in KNOWN-RED.txt; remove its entry");
            }
            (false, true) => println!("KNOWN   {name}: {figure}"),
            (false, false) => {
                println!("MISSED  {name}: {figure}");
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
