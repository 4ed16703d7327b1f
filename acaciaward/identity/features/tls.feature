Feature: TLS for callers and operators

  Scenario: Certificates are renewed without a restart
    Given an entry with TLS and a certificate signed by a new authority
    Then a caller and the command line that trust the authority are answered
    And neither a client of another authority nor plain HTTP is answered
    When the certificate is renewed while a connection is open
    Then new connections get the new certificate and the open one stays usable
    When the private key file is corrupted
    Then the renewed certificate stays in use

  Scenario: Unusable certificate files are named in an error of one line
    Then certificate files that are missing or invalid are named in the error

  Scenario: A command makes CURVE key pairs
    Then two runs of "acaciaward key peer" give different usable pairs
