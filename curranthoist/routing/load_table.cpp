#include "curranthoist/routing/load_table.hpp"

namespace curranthoist::routing {

target_load load_table::of(const base::target_id& target) const
{
    const auto found = loads_.find(target);
    return found == loads_.end() ? target_load() : found->second;
}

void load_table::on_sent(base::instant now, const base::target_id& target)
{
    target_load& load = loads_[target];
    ++load.outstanding;
    load.last_sent = now;
}

void load_table::on_done(const base::target_id& target)
{
    target_load& load = loads_[target];
    load.outstanding -= load.outstanding > 0 ? 1 : 0;
}

void load_table::on_report(const base::target_id& target, std::uint32_t queue_length,
                           base::duration service_time)
{
    target_load& load = loads_[target];
    load.reported = queue_length;
    if (service_time > base::duration()) {
        load.service_time = service_time;
    }
}

} // namespace curranthoist::routing
