use ports::{ActiveConfig, ChangeRequest};
use wire::state::{KeyEdit, KeyRecord};

use super::{AdminRouter, need_change_id};
use crate::{
    AdminProblem, ProblemCode,
    key_secret::{KeySecret, record_of_digest},
    server::{AdminCall, AdminReply},
    view::{ChangeView, GrantCall, GrantView, KeyView},
};

/// Longest id of a key.
const MAX_KEY_ID: usize = 40;

impl AdminRouter {
    pub(super) fn list_keys(&self) -> AdminReply {
        let config = self.config.config.current();
        let keys: Vec<KeyView> = config.keys.values().map(view_key).collect();
        AdminReply::json(200, &keys).with_revision(config.revision)
    }

    pub(super) fn grant_key(&self, call: &AdminCall) -> Result<AdminReply, AdminProblem> {
        need_change_id(call)?;
        let grant: GrantCall = serde_json::from_slice(&call.body)
            .map_err(|error| refused(format!("the body is not a grant: {error}")))?;
        let config = self.config.config.current();
        check_grant(&grant, &config)?;
        let (record, text) = self.record_grant(&grant)?;
        let known = config.keys.get(record.key_id.as_str());
        if known.is_some_and(|known| known.digest != record.digest) {
            return Err(refused(format!(
                "the key {} is granted already",
                record.key_id
            )));
        }
        let key_id = record.key_id.clone();
        let request = ChangeRequest {
            change_id: call.change_id.clone(),
            author: call.author.to_string(),
            base: None,
            sections: Vec::new(),
            keys: vec![KeyEdit {
                key_id: key_id.clone(),
                withdrawn: false,
                record: Some(record),
            }],
        };
        let outcome = self.submit(&request)?;
        if outcome.repeated && !text.is_empty() {
            // The first call minted another key, and nothing can show that one again.
            return Err(AdminProblem::new(
                ProblemCode::Conflict,
                "this change id granted a key before and its secret was shown then; \
                 withdraw that key and grant another",
            ));
        }
        let view = GrantView {
            key_id: key_id.into(),
            key: text,
            revision: outcome.revision,
            repeated: outcome.repeated,
        };
        Ok(AdminReply::json(200, &view).with_revision(outcome.revision))
    }

    pub(super) fn withdraw_key(
        &self,
        call: &AdminCall,
        key_id: &str,
    ) -> Result<AdminReply, AdminProblem> {
        need_change_id(call)?;
        if key_id.is_empty() || key_id.len() > MAX_KEY_ID {
            return Err(unknown_key(key_id));
        }
        let config = self.config.config.current();
        let is_known = config.keys.contains_key(key_id);
        if !is_known && config.revision == 0 {
            return Err(unknown_key(key_id));
        }
        let request = ChangeRequest {
            change_id: call.change_id.clone(),
            author: call.author.to_string(),
            // An unknown key may be one that an earlier call with this change id withdrew.
            // Against revision 0 the sink tells that case and changes nothing otherwise.
            base: if is_known { None } else { Some(0) },
            sections: Vec::new(),
            keys: vec![KeyEdit {
                key_id: key_id.to_owned(),
                withdrawn: true,
                record: None,
            }],
        };
        let outcome = self.submit(&request).map_err(|problem| {
            match !is_known && problem.kind == ProblemCode::Conflict {
                true => unknown_key(key_id),
                false => problem,
            }
        })?;
        let view = ChangeView {
            revision: outcome.revision,
            repeated: outcome.repeated,
            changed: vec![format!("key {key_id}")],
        };
        Ok(AdminReply::json(200, &view).with_revision(outcome.revision))
    }

    /// The record to store, and the key's text if it is minted here.
    fn record_grant(&self, grant: &GrantCall) -> Result<(KeyRecord, String), AdminProblem> {
        let (record, text) = match grant.minted.as_str() {
            "" => {
                let secret = KeySecret::mint().map_err(|error| {
                    AdminProblem::new(ProblemCode::Unavailable, error.to_string())
                })?;
                let record = KeyRecord {
                    key_id: secret.key_id.to_string(),
                    salt: secret.salt,
                    digest: secret.digest,
                    ..KeyRecord::default()
                };
                (record, secret.text)
            }
            minted => {
                let record = record_of_digest(minted)
                    .filter(is_whole)
                    .ok_or_else(|| refused("`minted` is not `ID:SALT:DIGEST`"))?;
                (record, String::new())
            }
        };
        let now = self.config.clock.unix_now().as_millis();
        let record = KeyRecord {
            team: grant.team.to_string(),
            admin: grant.admin,
            granted_unix_ms: u64::try_from(now).unwrap_or(u64::MAX),
            expires_unix_ms: grant.expires_unix_ms,
            ..record
        };
        Ok((record, text))
    }
}

fn check_grant(grant: &GrantCall, config: &ActiveConfig) -> Result<(), AdminProblem> {
    if grant.admin != grant.team.is_empty() {
        return Err(refused("a key is for one team, or for administration"));
    }
    if !grant.admin && !config.manifest.teams.contains_key(&grant.team) {
        return Err(refused(format!("there is no team {:?}", grant.team)));
    }
    Ok(())
}

fn is_whole(record: &KeyRecord) -> bool {
    let is_id = (1..=MAX_KEY_ID).contains(&record.key_id.len())
        && record
            .key_id
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit());
    is_id && record.salt.len() == model::KEY_SALT_LEN && record.digest.len() == 32
}

fn view_key(record: &KeyRecord) -> KeyView {
    KeyView {
        key_id: record.key_id.as_str().into(),
        team: record.team.as_str().into(),
        admin: record.admin,
        granted_unix_ms: record.granted_unix_ms,
        expires_unix_ms: record.expires_unix_ms,
    }
}

fn refused(detail: impl Into<String>) -> AdminProblem {
    AdminProblem::new(ProblemCode::Invalid, detail)
}

fn unknown_key(key_id: &str) -> AdminProblem {
    AdminProblem::new(
        ProblemCode::NotFound,
        format!("no key {key_id:?} is granted"),
    )
}
