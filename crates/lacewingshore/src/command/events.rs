use crate::{args::EventArguments, catalogue::all_events, exit::CommandError};

/// Prints the catalogue of events.
pub fn run(arguments: &EventArguments) -> Result<(), CommandError> {
    let events = all_events();
    if arguments.json {
        let rows: Vec<serde_json::Value> = events
            .iter()
            .map(|info| {
                serde_json::json!({
                    "event": info.code.to_string(),
                    "name": info.name,
                    "meaning": info.meaning,
                })
            })
            .collect();
        println!("{}", serde_json::Value::from(rows));
        return Ok(());
    }
    for info in events {
        println!("{}  {:<28}  {}", info.code, info.name, info.meaning);
    }
    Ok(())
}
