//! The executable; all code is in the library.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    yarrowfront_node::main()
}
