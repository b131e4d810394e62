/** What operators drive: the admin API of an entry host and the command line that calls it. */
package org.orioleshed.admin;
