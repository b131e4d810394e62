/** The admin API of an entry host and its command line client. */
package org.orioleshed.admin;
