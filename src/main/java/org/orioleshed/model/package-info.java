/** Value types that every layer shares: ids, tiers, requests and their outcomes. */
package org.orioleshed.model;
