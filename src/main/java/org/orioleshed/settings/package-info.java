/**
 * The entry host's own file and the fleet's tree of settings: schema, checks, inheritance, changes,
 * and how a change reaches every host.
 */
package org.orioleshed.settings;
