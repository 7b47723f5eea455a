#ifndef BENCH_CAPACITY_FLEET_RECORDS_H_
#define BENCH_CAPACITY_FLEET_RECORDS_H_

#include <cstddef>  // size_t
#include <cstdint>  // uint64_t
#include <string>   // string

#include "bench/capacity/sizes.h"
#include "coppervalve/config.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::bench {

/// @brief Failure domains at the design size.
inline constexpr size_t kFailureDomains = 8;

/// @brief The synthetic operators' file: account i draws on budget i, engine i
/// serves model i modulo the models, and every rule but the last names one
/// account.
v1::Configuration MakeConfiguration(const FleetSizes& sizes);
std::string ApiKeyOf(size_t account);
std::string ModelOf(const FleetSizes& sizes, size_t number);

/// @brief Router `number` of the synthetic fleet; 0 is the core under test.
core::RouterId RouterOf(size_t number);
core::Incarnation IncarnationOf(size_t number);
core::FailureDomainId FailureDomainOf(size_t number);

/// @brief An entry of a router, without records.
v1::Entry EntryOf(size_t router, uint64_t sequence, uint64_t seen_offset);
v1::Entry PublishEntry(const v1::Configuration& configuration,
                       uint64_t based_on);
v1::Entry JoinEntry(size_t router, uint64_t seen_offset);
/// @brief One router's holdings, so that each budget has `sizes.holders`.
v1::Entry HoldingsEntry(const FleetSizes& sizes,
                        size_t router,
                        uint64_t sequence,
                        uint64_t seen_offset);

}  // namespace coppervalve::bench

#endif  // BENCH_CAPACITY_FLEET_RECORDS_H_
