//! Runs the binary and records its output.

use std::{
    fs,
    path::PathBuf,
    process::{
        Command,
        Output, //
    },
};

/// Builder of a run.
pub(crate) struct Ctl {
    command: Command,
    replacements: Vec<(String, &'static str)>,
}

/// Result of a run.
pub(crate) struct Run {
    output: Output,
    replacements: Vec<(String, &'static str)>,
}

pub(crate) fn ctl(args: &[&str]) -> Ctl {
    let mut command = Command::new(env!("CARGO_BIN_EXE_foxtailctl"));
    command.args(args);
    Ctl {
        command,
        replacements: Vec::new(),
    }
}

impl Ctl {
    /// Sets the working directory.
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

    /// Replaces `text`, which differs from run to run, with `placeholder` in the output.
    pub(crate) fn hide(mut self, text: &str, placeholder: &'static str) -> Self {
        self.replacements.push((text.to_string(), placeholder));
        self
    }

    pub(crate) fn run(mut self) -> Run {
        Run {
            output: self.command.output().unwrap(),
            replacements: self.replacements,
        }
    }

    /// Returns the command, for a test that starts and ends the process itself.
    pub(crate) fn command(self) -> Command {
        self.command
    }
}

impl Run {
    pub(crate) fn stdout(&self) -> String {
        self.with_placeholders(&self.output.stdout)
    }

    /// Returns the exit code and both output streams as one text.
    pub(crate) fn all(&self) -> String {
        let code = self.output.status.code();
        let stdout = self.stdout();
        let stderr = self.with_placeholders(&self.output.stderr);
        format!("exit code: {code:?}\n--- stdout\n{stdout}--- stderr\n{stderr}")
    }

    fn with_placeholders(&self, bytes: &[u8]) -> String {
        let mut text = String::from_utf8(bytes.to_vec()).unwrap();
        for (hidden, placeholder) in &self.replacements {
            text = text.replace(hidden, placeholder);
        }
        text
    }
}

/// Creates an empty directory for the files of one test.
pub(crate) fn directory(test: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = fs::remove_dir_all(&directory);
    fs::create_dir_all(&directory).unwrap();
    directory
}
