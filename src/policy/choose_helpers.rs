use crate::name::{DataCentre, VmName};
use rand::Rng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Helpers that one router is told of.
const MAX_HELPERS: usize = 8;

/// A router that calls can be passed on to.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Helper {
    /// The VM that the router runs on.
    pub vm: VmName,
    /// The data centre of the VM.
    pub data_centre: DataCentre,
    /// Where the router accepts connections from other daemons.
    pub address: SocketAddr,
}

/// Chooses the helpers of a router in `own`, where `cut` routers need some: those in the same data
/// centre if there are at least as many as routers that need them, so that none takes much more than
/// a call for each of its own; otherwise those of all data centres. The choice is random, so that
/// several routers do not all choose the same ones.
///
/// ```
/// use samphireshift::name::{DataCentre, VmName};
/// use samphireshift::policy::{Helper, choose_helpers};
/// let helper = |vm: &str, data_centre: &str| Helper {
///     vm: VmName::new(vm),
///     data_centre: DataCentre::new(data_centre),
///     address: ([127, 0, 0, 1], 1).into(),
/// };
/// let all = vec![helper("a", "x"), helper("b", "x"), helper("c", "y")];
/// let mut random = rand::rng();
/// assert_eq!(choose_helpers(&DataCentre::new("x"), 2, all.clone(), &mut random).len(), 2);
/// assert_eq!(choose_helpers(&DataCentre::new("x"), 3, all, &mut random).len(), 3);
/// ```
pub fn choose_helpers<R>(
    own: &DataCentre,
    cut: usize,
    mut sound: Vec<Helper>,
    random: &mut R,
) -> Vec<Helper>
where
    R: Rng,
{
    let near = sound.iter().filter(|helper| helper.data_centre == *own).count();
    if near > 0 && near >= cut {
        sound.retain(|helper| helper.data_centre == *own);
    }
    sound.shuffle(random);
    sound.truncate(MAX_HELPERS);
    sound
}
