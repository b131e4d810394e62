/**
 * The configuration file of an entry host and the settings tree of the fleet: schema, validation,
 * inheritance, changes, and the propagation of changes to all entry hosts.
 */
package org.orioleshed.settings;
