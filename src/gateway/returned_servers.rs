use super::Gateway;
use super::cold_news::ColdCause;
use crate::name::DataCentre;

impl Gateway {
    /// Takes in that the servers of a data centre may get calls again after an evacuation. They may have lost what
    /// they held, and be slow at first.
    pub(super) fn servers_returned(&self, data_centre: &DataCentre) {
        let servers = self.servers.in_data_centre(data_centre);
        let count = servers.len();
        log::info!("{count} servers of data centre {data_centre} may get calls again");
        self.limits.presume_cold(servers.iter().map(|server| &server.vm), ColdCause::Returned);
    }
}
