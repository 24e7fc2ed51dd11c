/** What a gateway believes of its upstreams: who is there, how loaded and how sound each is, and what it has cached. */
package org.masticpaddle.fleet;
