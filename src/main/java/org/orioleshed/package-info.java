/** The entry point of orioleshed, a request scheduler for unlike engines. */
package org.orioleshed;
