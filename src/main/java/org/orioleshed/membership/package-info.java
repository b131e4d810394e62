/**
 * Which entry hosts are alive: heartbeats at constant cost per host, suspicion before removal,
 * rumours that spread a change in a second or two.
 */
package org.orioleshed.membership;
