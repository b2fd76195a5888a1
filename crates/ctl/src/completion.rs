//! `foxtailctl completion`.

use crate::{
    cli::{
        options,
        Shell,
        PROGRAM, //
    },
    error::Outcome, //
};
use anyhow::bail;
use bpaf::{
    Args,
    ParseFailure, //
};

/// Prints the completion script of a shell.
pub(crate) fn run(shell: Shell) -> anyhow::Result<Outcome> {
    let style = match shell {
        Shell::Bash => "--bpaf-complete-style-bash",
        Shell::Zsh => "--bpaf-complete-style-zsh",
        Shell::Fish => "--bpaf-complete-style-fish",
        Shell::Elvish => "--bpaf-complete-style-elvish",
    };
    let args = [style];
    let args = Args::from(args.as_slice()).set_name(PROGRAM);
    match options().run_inner(args) {
        Err(ParseFailure::Completion(script)) => print!("{script}"),
        _ => bail!("Report this failure; there is no completion script for this shell."),
    }
    Ok(Outcome::Success)
}
