package org.orioleshed.settings;

import java.net.InetSocketAddress;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;

/**
 * An entry host that is known before membership has spoken.
 *
 * @param id the host
 * @param domain its failure domain
 * @param peerAddress where it takes peer connections
 */
public record PeerSeed(HostId id, FailureDomain domain, InetSocketAddress peerAddress) {}
