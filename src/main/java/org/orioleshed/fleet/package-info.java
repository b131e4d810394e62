/**
 * The fleet snapshot that decisions are made about: entry hosts, backend servers, workspaces,
 * routes.
 */
package org.orioleshed.fleet;
