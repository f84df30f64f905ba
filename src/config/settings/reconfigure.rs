//! The replacement of a running program's settings, whose open requests refer to classes by number.

use super::error::ClassNumbersExhausted;
use super::program::{ClassInfo, ProgramSettings};
use super::SiteSettings;
use crate::interface::{Class, Settings, Topology};

/// The settings that a running program applies at a reload.
#[derive(Clone, Debug, PartialEq)]
pub struct Reconfiguration {
    /// The new settings, with the class numbers and the topology of the running program.
    pub settings: SiteSettings,
    /// Whether some of the new settings take effect only at the next start.
    pub needs_restart: bool,
}

impl SiteSettings {
    /// Adapts these settings so that they can replace those of a running program.
    ///
    /// A class of the same name and rules keeps its number. A class that is new or has other rules gets a number that
    /// no class has had. The old class is retired, so that its open requests keep its rules. The topology, except for
    /// the transfer speed and the meaning of the weights, and the names of kinds and zones stay the old ones, since the
    /// state of the servers refers to them by number.
    ///
    /// # Errors
    ///
    /// Returns an error if no class number is left.
    pub fn reconfigure(self, running: &SiteSettings) -> Result<Reconfiguration, ClassNumbersExhausted> {
        let SiteSettings { policy: new, program: named } = self;
        let classes = ClassTable::merge(running, &new.classes, &named.classes)?;
        let program = ProgramSettings {
            kinds: running.program.kinds.clone(),
            zones: running.program.zones.clone(),
            classes: classes.info,
            ..named.clone()
        };
        let topology = Topology {
            transfer_kb_per_s: new.topology.transfer_kb_per_s,
            weights_state_links: new.topology.weights_state_links,
            ..running.policy.topology.clone()
        };
        let needs_restart =
            topology != new.topology || program.kinds != named.kinds || program.zones != named.zones;
        let policy = Settings { classes: classes.rules, topology, ..new };
        Ok(Reconfiguration { settings: SiteSettings { policy, program }, needs_restart })
    }
}

/// The rules and the program's entries of all classes, both by number.
struct ClassTable {
    rules: Vec<Class>,
    info: Vec<ClassInfo>,
}

impl ClassTable {
    /// Returns the classes of the running program, retired unless they stay in use, followed by the new ones.
    fn merge(
        running: &SiteSettings,
        rules: &[Class],
        info: &[ClassInfo],
    ) -> Result<Self, ClassNumbersExhausted> {
        let mut table = ClassTable::retired(running);
        for (class, info) in rules.iter().zip(info) {
            let number = running.program.class(&info.name).map(|known| usize::from(known.0));
            match number.filter(|number| running.policy.classes[*number] == *class) {
                Some(number) => table.keep_in_use(number),
                None => table.add(class.clone(), info.clone())?,
            }
        }
        Ok(table)
    }

    /// Returns the classes of the running program, all of them retired.
    fn retired(running: &SiteSettings) -> Self {
        let rules = running.policy.classes.iter().map(|class| Class { retired: true, ..class.clone() });
        let info = running.program.classes.iter().map(|class| ClassInfo { retired: true, ..class.clone() });
        ClassTable { rules: rules.collect(), info: info.collect() }
    }

    fn keep_in_use(&mut self, number: usize) {
        self.rules[number].retired = false;
        self.info[number].retired = false;
    }

    fn add(&mut self, class: Class, info: ClassInfo) -> Result<(), ClassNumbersExhausted> {
        if self.rules.len() >= usize::from(u16::MAX) {
            return Err(ClassNumbersExhausted);
        }
        self.rules.push(class);
        self.info.push(info);
        Ok(())
    }
}
