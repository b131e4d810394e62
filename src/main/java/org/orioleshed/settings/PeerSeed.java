package org.orioleshed.settings;

import java.net.InetSocketAddress;
import org.orioleshed.model.FailureDomain;
import org.orioleshed.model.HostId;

/**
 * An entry host from the static configuration, known before the first membership update.
 *
 * @param id the host's id
 * @param domain its failure domain
 * @param peerAddress the address on which it accepts peer connections
 */
public record PeerSeed(HostId id, FailureDomain domain, InetSocketAddress peerAddress) {}
