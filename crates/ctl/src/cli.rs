//! Command line arguments.

use crate::{
    error::EXIT_USAGE,
    request::RequestSettings, //
};
use bpaf::{
    Args,
    Bpaf,
    OptionParser,
    ParseFailure,
    Parser,
    ShellComp, //
};
use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    path::PathBuf,
    process::ExitCode,
    str::FromStr, //
};

/// Name of the program in messages and completion scripts.
pub(crate) const PROGRAM: &str = "foxtailctl";

const DEFAULT_ADMIN: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7002);
const HELP_WIDTH: usize = 100;

const EXAMPLES: &str = "Examples:

    foxtailctl check documents/*.jsonc
    foxtailctl status --service syncdesk-api
    foxtailctl status --admin 10.20.1.1:7002 --admin 10.20.1.2:7002
    foxtailctl view --admin 10.20.1.1:7002
    foxtailctl audit --service syncdesk-api --follow
    foxtailctl explain syncdesk-api
    foxtailctl request coap://10.20.0.1:5601/cues
    foxtailctl completion bash > /etc/bash_completion.d/foxtailctl";
const EXIT_CODES: &str = "Exit codes: 0 success, 1 findings or a failure, 2 wrong usage.";

/// A command with its arguments.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(
    options,
    version,
    descr("Operate foxtailhinge: check documents, see what the daemons do."),
    header(EXIT_CODES),
    footer(EXAMPLES)
)]
pub(crate) enum Command {
    /// Check documents and settings, and list every finding with its location
    #[bpaf(
        command,
        footer("Example:\n\n    foxtailctl check syncdesk-api.jsonc certvault.jsonc")
    )]
    Check {
        #[bpaf(external)]
        json: bool,
        /// Document or settings
        #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: None }), some("Name at least one file."))]
        files: Vec<PathBuf>,
    },
    /// Show members, zones, upstreams and documents as daemons see them
    #[bpaf(
        command,
        footer("Example:\n\n    foxtailctl status --admin 10.20.1.1:7002 --admin 10.20.1.2:7002")
    )]
    Status {
        #[bpaf(external)]
        json: bool,
        #[bpaf(external(admins))]
        admin: Vec<SocketAddr>,
        /// Show this service only
        #[bpaf(argument("SERVICE"))]
        service: Option<String>,
    },
    /// Show the view of daemons that forward packets, and its age
    #[bpaf(
        command,
        footer("Example:\n\n    foxtailctl view --admin 10.20.1.1:7002 --service syncdesk-api")
    )]
    View {
        #[bpaf(external)]
        json: bool,
        #[bpaf(external(admins))]
        admin: Vec<SocketAddr>,
        /// Show load and upstreams of this service only
        #[bpaf(argument("SERVICE"))]
        service: Option<String>,
    },
    /// Show the last changes that a daemon made or saw
    #[bpaf(
        command,
        footer("Example:\n\n    foxtailctl audit --service syncdesk-api --follow")
    )]
    Audit {
        #[bpaf(external)]
        json: bool,
        #[bpaf(external(admin))]
        admin: SocketAddr,
        /// Show changes of this service only
        #[bpaf(argument("SERVICE"))]
        service: Option<String>,
        /// Show changes after this sequence number
        #[bpaf(argument("N"), fallback(0), display_fallback)]
        since: u64,
        /// Keep showing new changes as they occur
        follow: bool,
    },
    /// Show where a flow goes, and why not elsewhere
    #[bpaf(
        command,
        footer(
            "Examples:

    foxtailctl explain syncdesk-api
    foxtailctl explain --admin 10.1.0.10:7720 --caller 100.67.0.24 syncdesk-api
    foxtailctl explain --admin 10.1.0.10:7720 --caller 100.67.0.24 198.18.0.1:8080"
        )
    )]
    Explain {
        #[bpaf(external)]
        json: bool,
        #[bpaf(external(admin))]
        admin: SocketAddr,
        /// Ticket of the flow; without it a new flow is explained
        #[bpaf(argument("HEX"))]
        ticket: Option<String>,
        /// Show whether a daemon that forwards packets admits this caller
        #[bpaf(argument("IP"))]
        caller: Option<Ipv4Addr>,
        /// Name of the service, or with --caller the address of a route
        #[bpaf(positional("SERVICE"))]
        service: String,
    },
    /// Send one CoAP request as a caller
    #[bpaf(
        command,
        footer(
            "Examples:

    foxtailctl request coap://10.20.0.1:5601/cues
    foxtailctl request --method post --payload '{\"track\":7}' coap://10.20.0.1:5601/clearances
    foxtailctl request --observe --count 10 coap://10.20.0.1:5601/cues"
        )
    )]
    Request {
        #[bpaf(external)]
        json: bool,
        #[bpaf(external(crate::request::request_settings))]
        settings: RequestSettings,
        /// Address of the service and path of the request
        #[bpaf(positional("URL"))]
        url: String,
    },
    /// Print the completion script of a shell
    #[bpaf(
        command,
        footer("Example:\n\n    foxtailctl completion bash > /etc/bash_completion.d/foxtailctl")
    )]
    Completion {
        /// One of bash, zsh, fish and elvish
        #[bpaf(positional("SHELL"))]
        shell: Shell,
    },
}

/// A shell for which there is a completion script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shell {
    Bash,
    Zsh,
    Fish,
    Elvish,
}

impl FromStr for Shell {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "bash" => Ok(Self::Bash),
            "zsh" => Ok(Self::Zsh),
            "fish" => Ok(Self::Fish),
            "elvish" => Ok(Self::Elvish),
            _ => Err("write bash, zsh, fish or elvish"),
        }
    }
}

fn json() -> impl Parser<bool> {
    bpaf::long("json").help("Print JSON for programs").switch()
}

fn admin() -> impl Parser<SocketAddr> {
    admin_argument("Admin address of a daemon")
        .fallback(DEFAULT_ADMIN)
        .display_fallback()
}

fn admins() -> impl Parser<Vec<SocketAddr>> {
    admin_argument("Admin address of a daemon, may be repeated; 127.0.0.1:7002 by default")
        .many()
        .map(|admins| {
            if admins.is_empty() {
                return vec![DEFAULT_ADMIN];
            }
            admins
        })
}

fn admin_argument(help: &str) -> impl Parser<SocketAddr> {
    bpaf::long("admin").help(help).argument("IP:PORT")
}

/// Parses the arguments of the process.
///
/// # Errors
///
/// Prints help, completions or a usage error, and returns the exit code.
pub(crate) fn parse() -> Result<Command, ExitCode> {
    options()
        .run_inner(Args::current_args())
        .map_err(|e| match e {
            ParseFailure::Stdout(doc, _) => {
                println!("{}", doc.monochrome(true).trim_end());
                ExitCode::SUCCESS
            }
            ParseFailure::Completion(text) => {
                print!("{text}");
                ExitCode::SUCCESS
            }
            ParseFailure::Stderr(doc) => {
                eprintln!("foxtailctl: {}", doc.monochrome(true).trim_end());
                ExitCode::from(EXIT_USAGE)
            }
        })
}

/// Returns the parser of the command line.
pub(crate) fn options() -> OptionParser<Command> {
    command().max_width(HELP_WIDTH)
}
