//! A run of the binary.

use std::{
    fs,
    path::PathBuf,
    process::{
        Command,
        Output, //
    },
};

/// A run that is being set up.
pub(crate) struct Ctl {
    command: Command,
    hidden: Vec<(String, &'static str)>,
}

/// A run that has ended.
pub(crate) struct Run {
    output: Output,
    hidden: Vec<(String, &'static str)>,
}

pub(crate) fn ctl(args: &[&str]) -> Ctl {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foxtailctl"));
    command.args(args);
    Ctl {
        command,
        hidden: Vec::new(),
    }
}

impl Ctl {
    /// Runs in the given directory.
    pub(crate) fn within(mut self, directory: &PathBuf) -> Self {
        self.command.current_dir(directory);
        self
    }

    pub(crate) fn arg(mut self, arg: &str) -> Self {
        self.command.arg(arg);
        self
    }

    pub(crate) fn args(mut self, args: &[&str]) -> Self {
        self.command.args(args);
        self
    }

    /// Writes `word` in place of `text`, which differs from run to run.
    pub(crate) fn hide(mut self, text: &str, word: &'static str) -> Self {
        self.hidden.push((text.to_string(), word));
        self
    }

    pub(crate) fn run(mut self) -> Run {
        Run {
            output: self.command.output().unwrap(),
            hidden: self.hidden,
        }
    }

    /// Leaves the process to the caller, which ends it.
    pub(crate) fn command(self) -> Command {
        self.command
    }
}

impl Run {
    pub(crate) fn stdout(&self) -> String {
        self.shown(&self.output.stdout)
    }

    /// Exit code and both streams.
    pub(crate) fn all(&self) -> String {
        let code = self.output.status.code();
        let stdout = self.stdout();
        let stderr = self.shown(&self.output.stderr);
        format!("exit code: {code:?}\n--- stdout\n{stdout}--- stderr\n{stderr}")
    }

    fn shown(&self, bytes: &[u8]) -> String {
        let mut text = String::from_utf8(bytes.to_vec()).unwrap();
        for (hidden, word) in &self.hidden {
            text = text.replace(hidden, word);
        }
        text
    }
}

/// A fresh directory for the files of one test.
pub(crate) fn directory(test: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).unwrap();
    directory
}
