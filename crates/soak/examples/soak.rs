//! Runs seeds, several in parallel, and prints the result of each.

use anyhow::Context;
use bpaf::Bpaf;
use foxtailhinge_soak::{
    Soak,
    SoakSpec,
    Verdict, //
};
use foxtailhinge_standins::fleet::{
    Deployment,
    Program, //
};
use std::{
    path::{
        Path,
        PathBuf, //
    },
    process::ExitCode,
    sync::atomic::{
        AtomicU64,
        AtomicUsize,
        Ordering, //
    },
    thread,
    time::Duration, //
};

/// Inject randomized faults into a fleet of real daemons
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// First seed
    #[bpaf(argument("SEED"), fallback(1))]
    first: u64,
    /// Number of seeds
    #[bpaf(argument("NUMBER"), fallback(10))]
    seeds: u64,
    /// Number of seeds that run in parallel
    #[bpaf(argument("NUMBER"), fallback(2))]
    jobs: usize,
    /// Seconds during which faults occur
    #[bpaf(argument("SECONDS"), fallback(14))]
    seconds: u64,
    /// Number of daemons
    #[bpaf(argument("NUMBER"), fallback(8))]
    daemons: usize,
    /// Deployment: kalahari or southern-cross; by default the seeds alternate between them
    #[bpaf(argument("NAME"), optional)]
    deployment: Option<Deployment>,
    /// Also restore the store from older copies
    restorations: bool,
    /// Also send several times the requests that the slots can serve
    overloads: bool,
    /// List the faults of the seeds without running them
    list: bool,
    /// Path of the daemon's program; by default the one of the same build
    #[bpaf(argument("PATH"), optional)]
    program: Option<PathBuf>,
}

fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(code) => code,
        Err(err) => {
            eprintln!("{err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> anyhow::Result<ExitCode> {
    let program = match &options.program {
        Some(path) => path.clone(),
        None => daemon_of_this_build()?,
    };
    if options.list {
        for seed in options.first..options.first + options.seeds {
            let lines = Soak::list(&spec(options, &program, seed), seed);
            println!("seed {seed}:\n  {}", lines.join("\n  "));
        }
        return Ok(ExitCode::SUCCESS);
    }
    let next = AtomicU64::new(options.first);
    let (broken, failed) = (AtomicUsize::new(0), AtomicUsize::new(0));
    thread::scope(|scope| {
        for _ in 0..options.jobs {
            scope.spawn(|| loop {
                let seed = next.fetch_add(1, Ordering::Relaxed);
                if seed >= options.first + options.seeds {
                    return;
                }
                match run_seed(options, &program, seed) {
                    Ok(verdict) => {
                        println!("{verdict}");
                        broken.fetch_add(usize::from(!verdict.passed()), Ordering::Relaxed);
                    }
                    Err(err) => {
                        println!("seed {seed} could not be run: {err:#}");
                        failed.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    let (broken, failed) = (broken.into_inner(), failed.into_inner());
    println!(
        "{} seeds: {broken} broke a promise, {failed} could not be run",
        options.seeds
    );
    Ok(match broken + failed {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}

fn run_seed(options: &Options, program: &Path, seed: u64) -> anyhow::Result<Verdict> {
    Soak::run_seed(&spec(options, program, seed), seed)
}

fn spec(options: &Options, program: &Path, seed: u64) -> SoakSpec {
    let alternating = match seed % 2 {
        1 => Deployment::Kalahari,
        _ => Deployment::SouthernCross,
    };
    let program = Program {
        path: program.to_owned(),
        args: Vec::new(),
    };
    let mut spec = SoakSpec::new(program, options.deployment.unwrap_or(alternating));
    spec.daemons = options.daemons;
    spec.fault_window = Duration::from_secs(options.seconds);
    spec.restorations = options.restorations;
    spec.overloads = options.overloads;
    spec
}

/// Path of the daemon's program of the same build, which is one directory above the examples.
fn daemon_of_this_build() -> anyhow::Result<PathBuf> {
    let example = std::env::current_exe()?;
    let dir = example.parent().and_then(|dir| dir.parent());
    let path = dir
        .context("this program has no directory")?
        .join("foxtailhinge");
    anyhow::ensure!(
        path.exists(),
        "Build the daemon first, or name it by --program; there is no program at {}.",
        path.display()
    );
    Ok(path)
}
