/**
 * Membership of entry hosts: failure detection at constant cost per host, suspicion before removal,
 * and gossip that propagates a change in one or two seconds.
 */
package org.orioleshed.membership;
