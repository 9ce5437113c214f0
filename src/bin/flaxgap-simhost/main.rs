//! Adapter between the simulator and the scheduler: reads binary frames from stdin, runs one scheduler for each instance,
//! and writes the resulting actions to stdout. It contains no scheduling logic.

mod decode;
mod encode;
mod host;
mod wire;

use host::Host;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use wire::{BatchHeader, FrameError, HEADER_BYTES};

fn main() -> ExitCode {
    match serve(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("flaxgap-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads batches and writes a reply to each of them, until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), FrameError> {
    let mut host = Host::default();
    while let Some(header) = read_header(input)? {
        let body = read_body(input, &header)?;
        let reply = host.handle_batch(&header, &body)?;
        output.write_all(&reply.frame(header.number)).map_err(FrameError::Output)?;
        output.flush().map_err(FrameError::Output)?;
    }
    Ok(())
}

/// Reads the header of the next batch; `None` if the input ends before it.
fn read_header(input: &mut impl Read) -> Result<Option<BatchHeader>, FrameError> {
    let mut bytes = Vec::new();
    input.take(HEADER_BYTES as u64).read_to_end(&mut bytes).map_err(FrameError::Input)?;
    match <[u8; HEADER_BYTES]>::try_from(bytes) {
        Ok(bytes) => BatchHeader::parse(&bytes).map(Some),
        Err(bytes) if bytes.is_empty() => Ok(None),
        Err(_) => Err(FrameError::HeaderCutShort),
    }
}

fn read_body(input: &mut impl Read, header: &BatchHeader) -> Result<Vec<u8>, FrameError> {
    let mut body = Vec::new();
    let length = input.take(header.body_bytes as u64).read_to_end(&mut body).map_err(FrameError::Input)?;
    if length < header.body_bytes {
        return Err(FrameError::BatchCutShort(header.number));
    }
    Ok(body)
}
