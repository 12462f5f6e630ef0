#pragma once

#include <boost/describe.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "fescueramp/core/enum_table.h"
#include "fescueramp/core/time.h"

namespace fescueramp {

/// Rule by which a request was sent before the older requests in the queue.
enum class OrderRule {
  kArrival,      ///< No older request waited, or the request was the oldest of its account.
  kPriority,     ///< The request's class has a lower rank, which goes first.
  kFairShare,    ///< The request's account had used less of its fair share.
  kClassShare,   ///< The older request's class held all slots that it may hold.
  kSlotReserve,  ///< The older request's class had to leave slots for classes with short service times.
  kStarvation,   ///< The request's class had waited longer than its starvation limit.
  kIsolation,    ///< The older request must run alone on an endpoint, and no endpoint was empty.
  kRetry,        ///< The older request is a retry that must not go to the free endpoint.
};

template <>
struct EnumTable<OrderRule> {
  static constexpr std::array<std::string_view, 8> kNames = {
      "arrival", "priority", "fair_share", "class_share", "slot_reserve", "starvation", "isolation", "retry"};
};

/// An older request that was passed over when a younger one was sent, and the rule that decided so.
struct PassedOverRequest {
  std::string m_request_id;
  std::string m_class_name;
  OrderRule m_rule = OrderRule::kArrival;
};
BOOST_DESCRIBE_STRUCT(PassedOverRequest, (), (m_request_id, m_class_name, m_rule))

/// State of one priority class at the time of a decision.
struct ClassSnapshot {
  std::string m_name;
  std::int64_t m_rank = 0;
  std::int64_t m_queued = 0;
  std::int64_t m_running = 0;
  std::int64_t m_bound = 0;    ///< Maximum number of slots that the class could hold.
  std::int64_t m_reserve = 0;  ///< Slots reserved for classes with shorter service times.
};
BOOST_DESCRIBE_STRUCT(ClassSnapshot, (), (m_name, m_rank, m_queued, m_running, m_bound, m_reserve))

/// Decision that sent a request to an endpoint or ended it without sending it, with the state it was based
/// on.
struct DecisionRecord {
  std::string m_request_id;
  std::string m_entry_node;
  std::string m_dispatcher;
  std::int64_t m_sequence = 0;  ///< Sequence number of the decision at the dispatcher.
  std::int64_t m_revision = 0;  ///< Revision of the configuration in force.
  std::string m_service;
  std::string m_part_zone;  ///< Zone of the dispatcher's endpoints; empty if it has all of the service.
  std::string m_route;
  std::string m_class_name;
  std::string m_account;
  double m_weight = 1;                  ///< Weight of the account.
  Instant m_arrival{};                  ///< Arrival at the dispatcher.
  Instant m_decided{};                  ///< Time of this decision.
  std::int64_t m_arrival_sequence = 0;  ///< Sequence number of the arrival at the dispatcher.
  double m_start_tag = 0;               ///< Virtual start time in the fair queue; the lowest goes first.
  std::int64_t m_attempt = 0;           ///< Number of the attempt.
  std::string m_endpoint;               ///< Empty if the request was not sent.
  std::string m_outcome;                ///< Name of the result code if the request was not sent.
  OrderRule m_rule = OrderRule::kArrival;
  std::int64_t m_slots = 0;           ///< Usable slots of the service.
  std::int64_t m_busy = 0;            ///< Slots in use, including the slot of this request.
  std::int64_t m_doubt_permille = 0;  ///< Estimated probability of a gray failure of the endpoint, permille.
  std::int64_t m_retries_left = 0;    ///< Retries left in the service's budget when the request ended.
  std::vector<ClassSnapshot> m_classes;
  std::vector<PassedOverRequest> m_passed_over;
};
BOOST_DESCRIBE_STRUCT(DecisionRecord, (),
                      (m_request_id, m_entry_node, m_dispatcher, m_sequence, m_revision, m_service,
                       m_part_zone, m_route, m_class_name, m_account, m_weight, m_arrival, m_decided,
                       m_arrival_sequence, m_start_tag, m_attempt, m_endpoint, m_outcome, m_rule, m_slots,
                       m_busy, m_doubt_permille, m_retries_left, m_classes, m_passed_over))

}  // namespace fescueramp
