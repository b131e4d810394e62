package org.orioleshed.settings;

/** A settings document shared by several tests. */
final class SampleTree {
    /** A complete tree with comments and inheritance over two levels. */
    static final String TEXT =
            """
            {
              // ranks are the order of urgency
              "tiers": {"urgent": {"rank": 0}, "standard": {"rank": 1}, "patient": {"rank": 2}},
              "routes": {
                "gangway": {"model": "letters"},
                "bookings": {"service": "bookings",
                             "calls": {"hold": {"repeatable": false},
                                       "lookup": {"repeatable": true}}}},
              "servers": {
                "defaults": {"generation": "g1", "places": 8, "cacheTokens": 60000},
                "branches": {
                  "suva-a": {
                    "defaults": {"domain": "suva-a", "places": 4},
                    "items": {
                      "suva-a-1": {"address": "http://127.0.0.1:9001", "model": "letters",
                                   "version": "v1"},
                      "suva-a-2": {"address": "http://127.0.0.1:9002", "service": "bookings",
                                   "version": "v1", "places": 2}}}}},
              "workspaces": {
                "defaults": {"maxWaiting": 50, "tiers": {"urgent": {"deadlineMillis": 10000}}},
                "branches": {
                  "association": {
                    "defaults": {"weight": 3,
                                 "patience": {"start": "20:00", "end": "06:00",
                                              "zone": "Pacific/Fiji"}},
                    "items": {
                      "stewards": {"keyHashes": ["%s"], "patience": null},
                      "clerks": {"weight": 5, "tiers": {"patient": {"allowed": false}}}}}}},
              "currentVersions": {"gangway": "v1"}
            }
            """
                    .formatted("a".repeat(64));

    private SampleTree() {}
}
