/** What a gateway learns from the platform's log: the follower of keyed streams and the interfaces to the log. */
package org.masticpaddle.control;
