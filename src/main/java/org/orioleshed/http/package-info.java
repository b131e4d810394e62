/** What all readers of HTTP responses have in common. */
package org.orioleshed.http;
