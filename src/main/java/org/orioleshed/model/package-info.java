/** Value types shared by all layers: ids, tiers, requests and their outcomes. */
package org.orioleshed.model;
