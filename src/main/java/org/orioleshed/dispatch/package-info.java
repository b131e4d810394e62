/** The decisions of a pool's primary: who runs next, where, and who is turned away. */
package org.orioleshed.dispatch;
