/**
 * Links between entry hosts: framed protobuf messages over Netty, with one codec for each kind of
 * message.
 */
package org.orioleshed.peer;
