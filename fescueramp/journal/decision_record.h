#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueramp/core/enum_table.h"
#include "fescueramp/core/time.h"

namespace fescueramp {

/// Rule that decided which request went next.
enum class OrderRule {
  kArrival,      ///< Nothing older waited, or the oldest of its account.
  kPriority,     ///< Its class has a lower rank.
  kFairShare,    ///< Its account had used less of its share.
  kClassShare,   ///< The older one's class held all the slots it may hold.
  kSlotReserve,  ///< The older one's class had to leave slots for short work.
  kStarvation,   ///< Its class had waited too long and got its turn.
  kIsolation,    ///< The older one must run alone on an endpoint and none was empty.
  kRetry,        ///< The older one could not go to the endpoint that was free.
};

template <>
struct EnumTable<OrderRule> {
  static constexpr std::array<std::string_view, 8> kNames = {
      "arrival", "priority", "fair_share", "class_share", "slot_reserve", "starvation", "isolation", "retry"};
};

/// An older request that a younger one overtook, and the rule that decided it.
struct PassedOver {
  std::string m_request_id;
  std::string m_class_name;
  OrderRule m_rule = OrderRule::kArrival;
};
BOOST_DESCRIBE_STRUCT(PassedOver, (), (m_request_id, m_class_name, m_rule))

/// State of one class at the time of a decision.
struct ClassSnapshot {
  std::string m_name;
  std::int64_t m_rank = 0;
  std::int64_t m_queued = 0;
  std::int64_t m_running = 0;
  std::int64_t m_bound = 0;    ///< Slots that the class might hold then.
  std::int64_t m_reserve = 0;  ///< Slots that it had to leave for shorter work.
};
BOOST_DESCRIBE_STRUCT(ClassSnapshot, (), (m_name, m_rank, m_queued, m_running, m_bound, m_reserve))

/// Why and when one request was sent to an endpoint, or ended without.
struct DecisionRecord {
  std::string m_request_id;
  std::string m_entry_node;
  std::string m_dispatcher;
  std::int64_t m_sequence = 0;  ///< Order of decisions at the dispatcher.
  std::int64_t m_revision = 0;  ///< Configuration in force.
  std::string m_service;
  std::string m_part_zone;  ///< Zone whose endpoints the dispatcher has; empty for all of the service's.
  std::string m_route;
  std::string m_class_name;
  std::string m_account;
  double m_weight = 1;  ///< Weight of the account.
  Instant m_arrival{};  ///< Arrival at the dispatcher.
  Instant m_decided{};  ///< Time of this decision.
  std::int64_t m_arrival_sequence = 0;
  double m_start_tag = 0;  ///< Place of the request in its account's fair share.
  std::int64_t m_attempt = 0;
  std::string m_endpoint;  ///< Empty when the request was not sent.
  std::string m_outcome;   ///< Result name when the request was not sent.
  OrderRule m_rule = OrderRule::kArrival;
  std::int64_t m_slots = 0;           ///< Usable slots of the service.
  std::int64_t m_busy = 0;            ///< Slots in use, this one included.
  std::int64_t m_doubt_permille = 0;  ///< Probability of a gray failure of the endpoint, as believed then.
  std::int64_t m_retries_left = 0;    ///< Retries that the service's budget had left when the request ended.
  std::vector<ClassSnapshot> m_classes;
  std::vector<PassedOver> m_passed_over;
};
BOOST_DESCRIBE_STRUCT(DecisionRecord, (),
                      (m_request_id, m_entry_node, m_dispatcher, m_sequence, m_revision, m_service,
                       m_part_zone, m_route, m_class_name, m_account, m_weight, m_arrival, m_decided,
                       m_arrival_sequence, m_start_tag, m_attempt, m_endpoint, m_outcome, m_rule, m_slots,
                       m_busy, m_doubt_permille, m_retries_left, m_classes, m_passed_over))

}  // namespace fescueramp
