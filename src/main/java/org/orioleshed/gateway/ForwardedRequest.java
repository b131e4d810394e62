package org.orioleshed.gateway;

import org.orioleshed.model.HostId;

/**
 * What a forwarding host states about a request that it sends to a relay.
 *
 * @param host the forwarding host
 * @param charged whether the request was charged to its workspace's quota already
 */
public record ForwardedRequest(HostId host, boolean charged) {}
