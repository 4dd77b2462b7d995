//! Member list, serving lease, configuration in force and team quotas of an entry host.
