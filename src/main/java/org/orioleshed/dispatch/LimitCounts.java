package org.orioleshed.dispatch;

/**
 * How many servers have a state that limits what they may be sent.
 *
 * @param limited servers with a stated request rate
 * @param cold cold servers
 * @param brittle servers that crash when they reject too many requests
 */
public record LimitCounts(int limited, int cold, int brittle) {}
