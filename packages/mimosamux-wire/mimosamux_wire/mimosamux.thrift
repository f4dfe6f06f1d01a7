// Messages between mimosamux daemons.
//
// Each message is sent as a thrift message (compact protocol) whose name is
// the name of its struct. A frame holds one message: four bytes of length (big
// endian), the frame's tag if the link is authenticated by a shared secret, and
// the encoded message. Readers treat every field as optional. Field numbers are
// never reused.

namespace py mimosamux_wire

struct Acknowledged {
}

struct Rejected {
  1: string problem
  2: i32 code
}

struct CommittedVersion {
  1: i64 version
  2: binary row
}

struct ConfigurationPush {
  1: string origin
  2: list<CommittedVersion> versions
}

struct ConfigurationFetch {
  1: i64 after
}

struct ConfigurationState {
  1: i64 version
  2: list<CommittedVersion> versions
  3: binary snapshot
}

struct LinkHello {
  1: string daemon
  2: binary nonce
  3: i32 protocol
}

struct LinkProof {
  1: binary proof
}

struct MemberRecord {
  1: string id
  2: string data_centre
  3: string address
  4: string caller_address
  5: i64 incarnation
  6: i32 state
}

struct DataCentreSummary {
  1: string data_centre
  2: i32 age_ms
  3: i64 configuration_version
  4: i64 lowest_version
  5: i64 members_digest
  6: i32 load
  7: i32 distance_us
}

struct Heartbeat {
  1: MemberRecord sender
  2: i64 configuration_version
  3: i32 load
  4: list<string> suspects
  5: list<DataCentreSummary> summaries
}

struct SummaryExchange {
  1: MemberRecord sender
  2: DataCentreSummary summary
}

struct MembersFetch {
  1: MemberRecord sender
  2: string data_centre
}

struct MembersKnown {
  1: list<MemberRecord> members
  2: list<DataCentreSummary> summaries
}

struct Superseded {
  1: i64 incarnation
}

struct EndpointDigest {
  1: i32 endpoint
  2: i32 age_ms
  3: i64 queued_prefill_tokens
  4: i32 running
  5: i32 waiting
  6: i32 slots
  7: i64 prefill_tokens_per_s
  8: i64 decode_interval_us
  9: i32 sent_requests
  10: i64 sent_tokens
  11: i32 ended_requests
  12: binary stored
  13: binary evicted
  14: bool doubtful
}

struct FleetDigest {
  1: i64 sequence
  2: i32 interval_ms
  3: bool full
  4: list<EndpointDigest> endpoints
  5: list<AccountUse> accounts
}

struct AccountUse {
  1: i32 account
  2: i32 share_percent
  3: i64 offered_tokens
  4: i64 admitted_tokens
}

struct FullDigestWanted {
}

struct LeavingEndpoint {
  1: string endpoint
  2: i64 seconds_left_ms
}

struct LeavingEndpoints {
  1: list<LeavingEndpoint> endpoints
}

struct DemandRecord {
  1: string model
  2: string work_class
  3: double requests_per_s
  4: double prompt_tokens
  5: double answer_tokens
}

struct RateRecord {
  1: string model
  2: string machine_class
  3: double prefill_tokens_per_s
  4: double decode_interval_s
  5: i32 slots
}

struct OfferRecord {
  1: string machine_class
  2: string market
}

struct ShortfallRecord {
  1: string work_class
  2: double needed_per_hour
  3: double ceiling_per_hour
  4: double admitted_share
}

struct PlanTold {
  1: PlanningSummary summary
  2: list<ShortfallRecord> shortfalls
}

struct DemandTold {
  1: list<DemandRecord> demands
  2: list<PlanningSummary> summaries
}

struct HandOver {
  1: string request
  2: string account
  3: string work_class
  4: string model
  5: string prompt
  6: i32 max_tokens
  7: binary parameters
  8: string idempotency_key
  9: list<string> tokens
  10: i32 attempt
  11: double deadline_left_s
}

struct HandOverReply {
  1: bool taken
  2: bool recorded
  3: string reason
}

struct HandOverWithdrawn {
  1: string request
  2: i32 attempt
}

struct CountRecord {
  1: string model
  2: string machine_class
  3: string market
  4: i32 running
  5: i32 live
  6: i32 paid
}

struct PlanningSummary {
  1: string data_centre
  2: i64 fencing
  3: i64 sequence
  4: list<DemandRecord> demands
  5: list<RateRecord> rates
  6: list<OfferRecord> refused
  7: list<string> stopping
  8: list<CountRecord> counts
}

struct TrialTally {
  1: string endpoint
  2: string route
  3: i32 answers
  4: i32 failed
  5: list<i32> slower
}

struct RolloutUse {
  1: string service
  2: i64 number
  3: i32 step
  4: i32 requests
  5: i32 trials
  6: i32 open_elsewhere
  7: list<TrialTally> tallies
}

struct EndpointUse {
  1: string endpoint
  2: i32 open_requests
  3: i64 unread_tokens
  4: i32 ended
  5: i32 failed
  6: i64 incarnation
  7: double sample_weight
  8: double ratio_sum
  9: double ratio_square_sum
}

struct BrittleService {
  1: string service
  2: double per_s
  3: i64 said_ms
}

struct EndpointLimit {
  1: string endpoint
  2: double per_s
  3: i64 said_ms
  4: i64 incarnation
}

struct CapUse {
  1: string account
  2: i64 used
  3: i64 recent
}

struct WindowUse {
  1: i64 window
  2: string account
  3: i32 requests
}

struct ServiceDemand {
  1: string service
  2: i64 busy_ms
}

struct PartsRead {
  1: string endpoint
  2: list<string> parts
  3: i64 incarnation
}

struct DigestHeard {
  1: i64 lifetime
  2: i64 sequence
}

struct StateDigest {
  1: string address
  2: string data_centre
  3: string region
  4: string entry_address
  5: i64 lifetime
  6: i64 sequence
  7: i32 state
  8: i64 configuration_version
  9: i64 lease_fencing
  10: i64 wall_offset_ms
  11: list<EndpointUse> endpoints
  12: list<CapUse> caps
  13: list<WindowUse> windows
  14: list<ServiceDemand> demands
  15: list<PartsRead> parts
  16: list<DigestHeard> heard
  17: bool is_relay
  18: bool reads_tables
  19: list<RolloutUse> rollouts
  20: i64 lease_ended_version
  21: double link_mbps
  22: list<EndpointLimit> limits
  23: string tunnel_address
  24: list<string> unreached_services
  25: list<BrittleService> brittle_services
}

struct GroupHeard {
  1: list<i64> members
  2: list<DigestHeard> heard
}

struct StateBatch {
  1: i64 lifetime
  2: i64 number
  3: i64 after
  4: i64 taken_lifetime
  5: i64 taken
  6: bool is_member
  7: list<binary> digests
  8: list<GroupHeard> confirmed
  9: list<i64> digest_lifetimes
  10: list<i64> digest_sequences
}

struct DaemonsKnown {
  1: list<string> addresses
  2: list<string> data_centres
  3: list<double> links_mbps
}

struct EndpointsLeave {
  1: list<string> endpoints
  2: list<i64> leave_in_ms
  3: list<i64> incarnations
}

struct SuspectTold {
  1: string content
  2: list<string> endpoints
  3: i64 age_ms
}

struct SuspectsTold {
  1: list<SuspectTold> suspects
}

struct SuspectsCleared {
  1: list<string> contents
}

struct CrashWithdrawn {
  1: string endpoint
}

struct StreamsBegan {
  1: string service
  2: string software
  3: i32 attempt
  4: i64 keep_ms
  5: binary requests
}

struct StreamsAsked {
  1: binary requests
}

struct StreamsAnswered {
  1: i64 lifetime
  2: binary known
  3: list<binary> told
  4: list<string> several
}

struct RolloutTold {
  1: string service
  2: string version
  3: i64 number
  4: i64 within_ms
  5: string stage
  6: i32 step
  7: i64 began_at_ms
  8: list<string> held_back
  9: string reason
  10: i32 word
  11: double share
}

struct Vouch {
  1: i64 version
}

struct Vouched {
  1: i64 version
  2: i64 age_ms
  3: binary document
}

struct TableRow {
  1: string key
  2: binary value
  3: i64 version
  4: bool is_deleted
}

struct TableNews {
  1: string table
  2: i64 version
  3: i64 changed
  4: i64 behind
  5: list<TableRow> rows
  6: i64 as_of_ms
  7: bool may_have_lapsed
}

struct WindowsFinalized {
  1: list<WindowUse> counts
}

struct CapLoanWanted {
  1: string account
  2: i64 lifetime
  3: i64 number
  4: double share
}

struct CapLoan {
  1: double share
}

struct CapLoanReturned {
  1: string account
  2: i64 lifetime
  3: i64 number
}
