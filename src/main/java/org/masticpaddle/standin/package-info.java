/** Test doubles of the platform's services, of a model engine and of a plain service, and a fault-injecting TCP proxy. */
package org.masticpaddle.standin;
