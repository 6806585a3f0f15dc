//! Length estimates per organisation and route, with fallback to coarser classes.

use std::collections::HashMap;

use cranelift_entity::{PrimaryMap, entity_impl};

use crate::hazard::{HazardTable, Survival};

/// Index of a class of generations that share a length estimate.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIx(u32);
entity_impl!(ClassIx, "class");

/// Events of a class after which its estimate is recomputed.
const EVENTS_PER_REFRESH: u32 = 16;

/// A class of generations with its length estimate.
#[derive(Clone, Debug)]
struct Class {
    parent: Option<ClassIx>,
    table: HazardTable,
    survival: Survival,
    events: u32,
}

/// Key of a class. The parts are stable digests of names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ClassKey {
    /// Digest of organisation and route together.
    pub organisation_route: u64,
    /// Digest of the route.
    pub route: u64,
}

/// Estimates output lengths.
///
/// `oracle_length` is the true length, available only in experiments; [`LearnedLengths`] ignores
/// it.
pub trait Lengths {
    /// Returns the class of a key and creates it if it does not exist.
    fn class(&mut self, key: ClassKey) -> ClassIx;

    /// Returns the class that covers all generations.
    fn root(&self) -> ClassIx;

    /// Records that a generation progressed from `from` to `to` tokens.
    fn advance(&mut self, class: ClassIx, from: u32, to: u32);

    /// Records that a generation ended at `length` tokens.
    fn end(&mut self, class: ClassIx, length: u32);

    /// Returns the probability that a generation that has reached `from` tokens reaches `to`.
    fn continuation_probability(
        &self,
        class: ClassIx,
        oracle_length: u32,
        from: u32,
        to: u32,
    ) -> f32;

    /// Returns the expected number of further tokens of a generation that has reached `from`
    /// tokens.
    fn mean_residual(&self, class: ClassIx, oracle_length: u32, from: u32) -> f32;

    /// Returns the given quantile of the lengths of generations that have reached `from` tokens.
    fn quantile(&self, class: ClassIx, oracle_length: u32, from: u32, quantile: f32) -> u32;
}

/// Length estimates learned online from observed generations.
#[derive(Clone, Debug)]
pub struct LearnedLengths {
    classes: PrimaryMap<ClassIx, Class>,
    organisation_routes: HashMap<u64, ClassIx>,
    routes: HashMap<u64, ClassIx>,
    root: ClassIx,
}

impl Default for LearnedLengths {
    fn default() -> Self {
        let mut classes = PrimaryMap::new();
        let root = classes.push(Class::new(None, Survival::unknown()));
        Self { classes, organisation_routes: HashMap::new(), routes: HashMap::new(), root }
    }
}

impl Class {
    fn new(parent: Option<ClassIx>, survival: Survival) -> Self {
        Self { parent, table: HazardTable::default(), survival, events: 0 }
    }
}

impl LearnedLengths {
    /// Returns the survival function of a class.
    pub fn survival(&self, class: ClassIx) -> &Survival {
        &self.classes[class].survival
    }

    fn child(&mut self, parent: ClassIx) -> ClassIx {
        let survival = self.classes[parent].survival.clone();
        self.classes.push(Class::new(Some(parent), survival))
    }

    fn route_class(&mut self, route: u64) -> ClassIx {
        if let Some(class) = self.routes.get(&route) {
            return *class;
        }
        let class = self.child(self.root);
        self.routes.insert(route, class);
        class
    }

    /// Applies a change to the tables of a class and of its ancestors.
    fn update<Change>(&mut self, class: ClassIx, change: Change)
    where
        Change: Fn(&mut HazardTable),
    {
        let mut next = Some(class);
        while let Some(ix) = next {
            change(&mut self.classes[ix].table);
            next = self.classes[ix].parent;
        }
        self.classes[class].events += 1;
        if self.classes[class].events >= EVENTS_PER_REFRESH {
            self.classes[class].events = 0;
            self.refresh(class);
        }
    }

    /// Recomputes the estimates of a class and its ancestors, the coarsest first.
    fn refresh(&mut self, class: ClassIx) {
        let coarser = match self.classes[class].parent {
            Some(parent) => {
                self.refresh(parent);
                self.classes[parent].survival.clone()
            }
            None => Survival::unknown(),
        };
        let estimate = Survival::estimate(&self.classes[class].table, &coarser);
        self.classes[class].survival = estimate;
    }
}

impl Lengths for LearnedLengths {
    fn class(&mut self, key: ClassKey) -> ClassIx {
        if let Some(class) = self.organisation_routes.get(&key.organisation_route) {
            return *class;
        }
        let route = self.route_class(key.route);
        let class = self.child(route);
        self.organisation_routes.insert(key.organisation_route, class);
        class
    }

    fn root(&self) -> ClassIx {
        self.root
    }

    fn advance(&mut self, class: ClassIx, from: u32, to: u32) {
        self.update(class, |table| table.advance(from, to));
    }

    fn end(&mut self, class: ClassIx, length: u32) {
        self.update(class, |table| table.end(length));
    }

    fn continuation_probability(
        &self,
        class: ClassIx,
        _oracle_length: u32,
        from: u32,
        to: u32,
    ) -> f32 {
        self.classes[class].survival.continuation_probability(from, to)
    }

    fn mean_residual(&self, class: ClassIx, _oracle_length: u32, from: u32) -> f32 {
        self.classes[class].survival.mean_residual(from)
    }

    fn quantile(&self, class: ClassIx, _oracle_length: u32, from: u32, quantile: f32) -> u32 {
        self.classes[class].survival.quantile(from, quantile)
    }
}

/// Exact lengths, for experiments with an oracle policy.
#[derive(Clone, Debug, Default)]
pub struct ExactLengths {
    classes: PrimaryMap<ClassIx, ()>,
}

impl Lengths for ExactLengths {
    fn class(&mut self, _key: ClassKey) -> ClassIx {
        if self.classes.is_empty() {
            self.classes.push(());
        }
        ClassIx::from_u32(0)
    }

    fn root(&self) -> ClassIx {
        ClassIx::from_u32(0)
    }

    fn advance(&mut self, _class: ClassIx, _from: u32, _to: u32) {}

    fn end(&mut self, _class: ClassIx, _length: u32) {}

    fn continuation_probability(
        &self,
        _class: ClassIx,
        oracle_length: u32,
        _from: u32,
        to: u32,
    ) -> f32 {
        if to < oracle_length { 1.0 } else { 0.0 }
    }

    fn mean_residual(&self, _class: ClassIx, oracle_length: u32, from: u32) -> f32 {
        oracle_length.saturating_sub(from) as f32
    }

    fn quantile(&self, _class: ClassIx, oracle_length: u32, from: u32, _quantile: f32) -> u32 {
        oracle_length.max(from)
    }
}
