/**
 * The fleet snapshot that decisions are based on: entry hosts, backend servers, workspaces and
 * routes.
 */
package org.orioleshed.fleet;
