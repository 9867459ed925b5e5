//! Runs the decision module for the simulator: reads batches of events from standard input and writes replies with actions to
//! standard output.

use std::collections::BTreeMap;
use std::io::{BufReader, BufWriter};
use std::process::ExitCode;
use wharfhub::simulator::pipe::{
    encode_action, read_frame, write_reply, Decoder, Record, WireError,
};
use wharfhub::Aggregator;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("wharfhub-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), WireError> {
    let mut input = BufReader::new(std::io::stdin().lock());
    let mut output = BufWriter::new(std::io::stdout().lock());
    let mut decoder = Decoder::default();
    let mut instances: BTreeMap<u32, Aggregator> = BTreeMap::new();
    let (mut actions, mut reply) = (Vec::new(), Vec::new());
    while let Some(frame) = read_frame(&mut input)? {
        let batch = decoder.decode_batch(&frame)?;
        reply.clear();
        for record in batch.records {
            match record {
                Record::Init {
                    instance,
                    seed,
                    settings,
                } => {
                    instances.insert(instance, Aggregator::new(*settings, seed, batch.now));
                }
                Record::Crash { instance } => {
                    instances.remove(&instance);
                }
                Record::Event { instance, event } => {
                    if let Some(aggregator) = instances.get_mut(&instance) {
                        actions.clear();
                        aggregator.handle(batch.now, event, &mut actions);
                        actions
                            .iter()
                            .for_each(|action| encode_action(instance, action, &mut reply));
                    }
                }
                Record::NoEvent => {}
            }
        }
        write_reply(&mut output, &reply)?;
    }
    Ok(())
}
