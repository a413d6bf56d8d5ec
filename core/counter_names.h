/*
 * All counters.
 */
#ifndef MH_COUNTER_NAMES_H
#define MH_COUNTER_NAMES_H

/* id, name, help text */
#define MH_COUNTER_LIST(X)                                                     \
	X(REQUESTS, requests, "requests submitted")                            \
	X(WHOLE, answers_whole, "answers delivered whole")                     \
	X(LATE, answers_late, "answers whole but after the deadline")          \
	X(REFUSED, refused, "requests refused")                                \
	X(CANCELLED, cancelled, "requests whose caller went away")             \
	X(HANDOVERS, handovers, "requests handed over to a side")              \
	X(REQUEUED, requeued, "hand-overs refused before dispatch")            \
	X(JOINED, joined, "requests joined to a run of the same key")          \
	X(GRANTS, grants, "grants received or given")                          \
	X(GRANTS_UNUSED, grants_unused, "grants returned or expired")          \
	X(WANTS, wants, "demand messages sent")                                \
	X(CLAIMS, claims, "claims queued for the log")                         \
	X(CLAIMS_LOST, claims_lost, "claims that another request won")         \
	X(CLAIMS_RELEASED, claims_released, "claims released")                 \
	X(CLAIMS_FORWARDED, claims_forwarded,                                  \
	  "claim batches given to an appender")                                \
	X(APPENDS, appends, "records appended to the log")                     \
	X(GIVE_WAY_SENT, give_way_sent, "peers asked to give way")             \
	X(GIVE_WAY_SHED, give_way_shed, "requests shed for a higher tier")     \
	X(LATE_FRAMES, late_frames, "frames for a request that ended")         \
	X(DUPLICATE_FRAMES, duplicate_frames, "frames received before")        \
	X(GAPS, gaps, "gaps in an answer, repaired by attaching again")        \
	X(LINK_LOST, link_lost, "links lost")                                  \
	X(STARTED, runs_started, "runs dispatched to the backend")             \
	X(RUNS_WHOLE, runs_whole, "runs that ended whole")                     \
	X(RUNS_FAILED, runs_failed, "runs that failed")                        \
	X(RUNS_CANCELLED, runs_cancelled, "runs cancelled")                    \
	X(FENCED, fenced, "late hand-overs refused or ignored")                \
	X(SUSPECTS, suspects, "crash suspicions recorded")                     \
	X(QUARANTINED, quarantined, "requests refused in quarantine")          \
	X(CONFIG_CHANGES, config_changes, "configuration changes in force")    \
	X(FRAMES_IN, frames_in, "frames received on links")                    \
	X(FRAMES_OUT, frames_out, "frames sent on links")                      \
	X(BYTES_IN, link_bytes_in, "bytes received on links")                  \
	X(BYTES_OUT, link_bytes_out, "bytes sent on links")                    \
	X(CONTROL_BYTES_OUT, control_bytes_out,                                \
	  "bytes sent on links other than calls and answers")                  \
	X(BAD_FRAMES, bad_frames, "malformed frames and failed handshakes")    \
	X(HTTP_REQUESTS, http_requests, "HTTP requests received")              \
	X(CLIENTS, client_connections, "connections of callers accepted")      \
	X(UPSTREAMS, server_connections,                                       \
	  "connections to backend servers that were opened")                   \
	X(SENT, sent, "requests sent to backend servers")                      \
	X(SENT_AGAIN, sent_again, "requests sent to a further server")         \
	X(REJECTED, rejected, "requests that a backend server did not run")    \
	X(CUT, answers_cut, "answers that broke off midway")                   \
	X(UNPROVEN, answers_unproven,                                          \
	  "answers delivered whose end only the connection showed")            \
	X(FAILED, failed, "requests whose outcome is unknown")                 \
	X(MALFORMED, malformed_requests, "requests that could not be read")    \
	X(BAD_ANSWERS, bad_answers, "answers of servers that were spoiled")    \
	X(DISPATCHER_CHANGES, dispatcher_changes,                              \
	  "changes of the dispatcher that is asked for places")                \
	X(SERVERS_LEAVING, servers_leaving,                                    \
	  "backend servers that said that they leave")                         \
	X(SERVER_PAUSES, server_pauses,                                        \
	  "pauses that backend servers asked for")                             \
	X(SERVER_LIMITS, server_limits,                                        \
	  "changes of the limit of a backend server")                          \
	X(LIMIT_WAITS, limit_waits,                                            \
	  "requests that only the limits of servers kept waiting")             \
	X(HELD_BACK, held_back,                                                \
	  "slots not used, as the server leaves or asked for a pause")         \
	X(BAD_NOTICES, bad_notices,                                            \
	  "responses whose field for a notice or a limit was malformed")       \
	X(ROLLOUT_CHANGES, rollout_changes,                                    \
	  "changes of the phase of a roll-out")                                \
	X(BAD_ROLLOUTS, rollouts_rejected,                                     \
	  "orders to roll out a version that were rejected")                   \
	X(STORE_CALLS, store_calls, "calls to the platform's store")           \
	X(ERA_RISES, store_era_rises,                                          \
	  "times that the store came back from an older copy")                 \
	X(BAD_ERAS, bad_store_eras,                                            \
	  "answers of the store whose era was malformed or fell")              \
	X(LOG_DROPPED, log_lines_dropped, "log lines left out or dropped")

enum mh_counter {
#define X(id, name, help) MH_C_##id,
	MH_COUNTER_LIST(X)
#undef X
		MH_C_COUNT
};

#endif
