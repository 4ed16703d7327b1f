Feature: TLS for callers and operators

  Scenario: Certificates are renewed without a restart
    Given an entry with TLS and a certificate of our authority
    Then a caller and the command line that trust the authority are answered
    And neither a client of another authority nor plain HTTP is answered
    When the certificate is renewed while a connection is open
    Then new connections are met with the new certificate and the open one goes on
    When the certificate files are spoiled
    Then the renewed certificate stays in force

  Scenario: Files that can't be used stop an entry with one line
    Then an entry whose certificate files are missing or foreign names them

  Scenario: CURVE keys are made by command
    Then two runs of "acaciaward key peer" give different usable pairs
