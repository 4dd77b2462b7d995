use std::time::{Duration, SystemTime, UNIX_EPOCH};

use admin::{
    key_secret::KeySecret,
    view::{ChangeView, GrantCall, GrantView, KeyView},
};
use anyhow::Context;
use serde_json::json;

use crate::{
    args::{
        CliArguments, KeyCommand, KeyGrantArguments, KeyListArguments, KeyMintArguments,
        KeyWithdrawArguments,
    },
    client::{AdminClient, AdminRequest},
    command::{format_time, mint_change_id, print_json},
    exit::CommandError,
    table::TextTable,
};

/// Runs a key command.
pub fn run(arguments: &CliArguments, command: &KeyCommand) -> Result<(), CommandError> {
    match command {
        KeyCommand::Grant(grant) => run_grant(&AdminClient::new(arguments)?, grant),
        KeyCommand::Withdraw(withdraw) => run_withdraw(&AdminClient::new(arguments)?, withdraw),
        KeyCommand::List(list) => run_list(&AdminClient::new(arguments)?, list),
        KeyCommand::Mint(mint) => run_mint(mint),
    }
}

fn run_grant(client: &AdminClient, arguments: &KeyGrantArguments) -> Result<(), CommandError> {
    let expires = arguments
        .expires
        .as_deref()
        .map(key_expiry_unix_ms)
        .transpose()?;
    let team = arguments.team.as_deref().unwrap_or_default();
    let (text, view) = grant(client, team, arguments.operator, expires.unwrap_or(0))?;
    if arguments.json {
        return print_json(&json!({
            "key": text, "key_id": view.key_id, "revision": view.revision,
        }));
    }
    println!("{text}");
    Ok(())
}

/// Grants a key that is minted locally, so that its secret is never sent; returns its text.
pub fn grant(
    client: &AdminClient,
    team: &str,
    operator: bool,
    expires_unix_ms: u64,
) -> Result<(String, GrantView), CommandError> {
    let secret = KeySecret::mint().context("mint the key")?;
    let call = GrantCall {
        team: team.into(),
        admin: operator,
        expires_unix_ms,
        minted: secret.digest_text(),
    };
    let request = AdminRequest {
        body: serde_json::to_vec(&call).context("write the grant")?,
        ..AdminRequest::change("POST", "/v1/keys", &mint_change_id())
    };
    match client.change::<GrantView>(&request) {
        Ok(view) => Ok((secret.text, view)),
        Err(CommandError::Pending(detail)) => Err(CommandError::Pending(format!(
            "{detail}\nif `lacewingshore key list` shows {} by and by, withdraw it and grant another",
            secret.key_id
        ))),
        Err(error) => Err(error),
    }
}

fn run_withdraw(
    client: &AdminClient,
    arguments: &KeyWithdrawArguments,
) -> Result<(), CommandError> {
    let change_id = arguments.change_id.clone().unwrap_or_else(mint_change_id);
    let view = withdraw(client, &arguments.key_id, &change_id)?;
    if arguments.json {
        return print_json(&view);
    }
    println!(
        "{} is withdrawn, revision {}",
        arguments.key_id, view.revision
    );
    Ok(())
}

/// Withdraws a key and returns once no entry host admits it.
pub fn withdraw(
    client: &AdminClient,
    key_id: &str,
    change_id: &str,
) -> Result<ChangeView, CommandError> {
    let is_id = key_id
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-');
    if key_id.is_empty() || !is_id {
        let reason = format!("{key_id:?} is not the public part of a key");
        return Err(CommandError::Invalid(reason));
    }
    client.change(&AdminRequest::change(
        "DELETE",
        format!("/v1/keys/{key_id}"),
        change_id,
    ))
}

fn run_list(client: &AdminClient, arguments: &KeyListArguments) -> Result<(), CommandError> {
    let keys: Vec<KeyView> = client.read("/v1/keys")?;
    if arguments.json {
        return print_json(&keys);
    }
    let mut table = TextTable::new(&["KEY", "FOR", "GRANTED", "EXPIRES"]);
    for key in keys {
        let holder = match key.admin {
            true => "operators".to_owned(),
            false => format!("team {}", key.team),
        };
        let expires = match key.expires_unix_ms {
            0 => "never".to_owned(),
            unix_ms => format_time(unix_ms),
        };
        table.add(vec![
            key.key_id.to_string(),
            holder,
            format_time(key.granted_unix_ms),
            expires,
        ]);
    }
    table.print();
    Ok(())
}

fn run_mint(arguments: &KeyMintArguments) -> Result<(), CommandError> {
    let secret = KeySecret::mint().context("mint the key")?;
    if arguments.json {
        return print_json(&json!({ "key": secret.text, "bootstrap_key": secret.digest_text() }));
    }
    println!("key:      {}", secret.text);
    println!("settings: bootstrap_key = {}", secret.digest_text());
    Ok(())
}

/// The expiry of a key with the lifetime in `text`, in milliseconds since the Unix epoch.
fn key_expiry_unix_ms(text: &str) -> Result<u64, CommandError> {
    const MAX_LIFETIME: Duration = Duration::from_secs(10 * 366 * 24 * 60 * 60);
    let lifetime = humantime::parse_duration(text)
        .ok()
        .filter(|lifetime| *lifetime <= MAX_LIFETIME)
        .ok_or_else(|| {
            CommandError::Invalid(format!("--expires: `{text}` is not a time such as 30d"))
        })?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Ok(u64::try_from((now + lifetime).as_millis()).unwrap_or(u64::MAX))
}
