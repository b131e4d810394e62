/** The entry point of orioleshed, a request scheduler for heterogeneous engines. */
package org.orioleshed;
