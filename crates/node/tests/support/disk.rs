//! Disks of running processes that refuse every write.

use std::path::PathBuf;
use std::process::{Child, Command};

use rustix::process::{Pid, Resource, Rlimit, prlimit};

/// Size in bytes up to which a process with a full disk can write a file.
const FULL_DISK_BYTES: u64 = 1;

/// Returns the folder for the files of tests: one in memory, if there is any, so that no test waits
/// for the disk of the machine, which other programs use as well.
pub fn test_root() -> PathBuf {
    let in_memory = PathBuf::from("/dev/shm");
    if in_memory.is_dir() {
        in_memory
    } else {
        std::env::temp_dir()
    }
}

/// Returns the command of a program that gets errors, and no signals, for writes that its disk
/// refuses.
pub fn command(program: &str) -> Command {
    let mut command = Command::new("sh");
    command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\"", program]);
    command
}

/// Makes the disk of a process refuse every write, or gives it room again.
pub fn set_full(child: &Child, is_full: bool) {
    let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    let limit = Rlimit {
        current: is_full.then_some(FULL_DISK_BYTES),
        maximum: None,
    };
    prlimit(id, Resource::Fsize, limit).expect("the limit is set");
}
