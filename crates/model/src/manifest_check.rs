use crate::{HostRole, Manifest, ManifestError, PoolSpec, ServiceSpec, WorkspaceSpec};

/// Maximum number of hosts in a manifest; ten times the fleet size that the system is designed for.
const MAX_HOSTS: u64 = 20_000;
/// Largest allowed sum of the team limits.
const MAX_LIMITS: u64 = 10_000_000;

impl Manifest {
    /// Checks constraints across sections: references, sums and budgets.
    pub(crate) fn check(&self) -> Result<(), ManifestError> {
        self.check_deployment()?;
        for (name, pool) in &self.pools {
            self.check_pool(&format!("pool.{name}"), pool)?;
        }
        for (name, service) in &self.services {
            self.check_service(&format!("service.{name}"), service)?;
        }
        for (name, workspace) in &self.workspaces {
            self.check_workspace(&format!("workspace.{name}"), workspace)?;
        }
        self.check_executor_pools()?;
        self.check_spare_pools()
    }

    fn check_deployment(&self) -> Result<(), ManifestError> {
        if self.name.is_empty() {
            return Err(manifest_error("deployment", "", "the section is required"));
        }
        let hosts: u64 = self.pools.values().map(|pool| u64::from(pool.size)).sum();
        if hosts > MAX_HOSTS {
            let reason = format!("the pools have {hosts} hosts, allowed are {MAX_HOSTS}");
            return Err(manifest_error("", "", &reason));
        }
        let limits: u64 = self.teams.values().map(|team| u64::from(team.limit)).sum();
        if limits > MAX_LIMITS {
            let reason =
                format!("the limits of the teams sum up to {limits}, allowed are {MAX_LIMITS}");
            return Err(manifest_error("", "", &reason));
        }
        Ok(())
    }

    fn check_pool(&self, section: &str, pool: &PoolSpec) -> Result<(), ManifestError> {
        if pool.budget > pool.size {
            let reason = format!("more hosts than the size of the pool, {}", pool.size);
            return Err(manifest_error(section, "budget", &reason));
        }
        if pool.connections < pool.slots {
            let reason = format!("fewer than the slots of a host, {}", pool.slots);
            return Err(manifest_error(section, "connections", &reason));
        }
        if pool.window.is_empty() {
            return Ok(());
        }
        let Some(window) = self.windows.get(&pool.window) else {
            let reason = format!("there is no section [window.{}]", pool.window);
            return Err(manifest_error(section, "window", &reason));
        };
        let maintainable = pool.size - pool.budget;
        if maintainable == 0 {
            let reason = format!(
                "leaves no host to maintain: a pool of {} with a window needs a budget of {} at most",
                pool.size,
                pool.size - 1
            );
            return Err(manifest_error(section, "budget", &reason));
        }
        if window.at_once > maintainable {
            let reason = format!(
                "can't be met: [window.{}] takes {} hosts out at once, size less budget is {maintainable}",
                pool.window, window.at_once
            );
            return Err(manifest_error(section, "budget", &reason));
        }
        Ok(())
    }

    fn check_service(&self, section: &str, service: &ServiceSpec) -> Result<(), ManifestError> {
        self.check_reference(section, "pool", &service.pool, HostRole::Executor)?;
        if service.worker_pool.is_empty() {
            return Ok(());
        }
        self.check_reference(
            section,
            "worker_pool",
            &service.worker_pool,
            HostRole::Worker,
        )
    }

    fn check_reference(
        &self,
        section: &str,
        key: &str,
        name: &str,
        role: HostRole,
    ) -> Result<(), ManifestError> {
        let Some(pool) = self.pools.get(name) else {
            return Err(manifest_error(
                section,
                key,
                &format!("there is no section [pool.{name}]"),
            ));
        };
        if pool.role != role {
            let reason = format!("[pool.{name}] must have the role {}", role.name());
            return Err(manifest_error(section, key, &reason));
        }
        if pool.spare {
            return Err(manifest_error(
                section,
                key,
                &format!("[pool.{name}] is a spare pool"),
            ));
        }
        Ok(())
    }

    fn check_workspace(
        &self,
        section: &str,
        workspace: &WorkspaceSpec,
    ) -> Result<(), ManifestError> {
        let Some(team) = self.teams.get(&workspace.team) else {
            let reason = format!("there is no section [team.{}]", workspace.team);
            return Err(manifest_error(section, "team", &reason));
        };
        if workspace.limit > team.limit {
            let reason = format!(
                "more than the limit of [team.{}], {}",
                workspace.team, team.limit
            );
            return Err(manifest_error(section, "limit", &reason));
        }
        Ok(())
    }

    /// Checks that no executor pool is used by two services: an executor serves only one.
    fn check_executor_pools(&self) -> Result<(), ManifestError> {
        for (name, service) in &self.services {
            let earlier = self
                .services
                .range(..name.clone())
                .find(|(_, other)| other.pool == service.pool);
            if let Some((other, _)) = earlier {
                let reason = format!("[pool.{}] answers [service.{other}] already", service.pool);
                return Err(manifest_error(&format!("service.{name}"), "pool", &reason));
            }
        }
        Ok(())
    }

    fn check_spare_pools(&self) -> Result<(), ManifestError> {
        for role in [HostRole::Executor, HostRole::Worker] {
            let mut spares = self
                .pools
                .iter()
                .filter(|(_, pool)| pool.spare && pool.role == role);
            let (Some((first, _)), Some((second, _))) = (spares.next(), spares.next()) else {
                continue;
            };
            let reason = format!(
                "[pool.{first}] is the spare pool of the role {} already",
                role.name()
            );
            return Err(manifest_error(&format!("pool.{second}"), "spare", &reason));
        }
        Ok(())
    }
}

fn manifest_error(section: &str, key: &str, reason: &str) -> ManifestError {
    ManifestError {
        line: 0,
        section: section.to_owned(),
        key: key.to_owned(),
        reason: reason.to_owned(),
    }
}
